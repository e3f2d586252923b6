package harness

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/platform"
)

// logPage is how many records are read at a time.
const logPage = 1000

// FoldWith is Fold; each is called after every record folded, with the state
// at that record. It returns the records folded as well.
func (c *Cluster) FoldWith(each func(*fleetlog.State, fleetlog.Applied)) (*fleetlog.State, []fleetlog.Applied) {
	ginkgo.GinkgoHelper()
	records := c.records()
	replica := fleetlog.NewReplica()
	var all []fleetlog.Applied
	for i := range records {
		for _, a := range replica.Ingest(records[i : i+1]) {
			all = append(all, a)
			if each != nil {
				each(replica.State(), a)
			}
		}
	}
	return replica.State(), all
}

// records reads the log from the oldest record kept to its head. Faults of the
// platform do not concern it where they are of another class than reads; the
// caller heals those first.
func (c *Cluster) records() []platform.LogRecord {
	ginkgo.GinkgoHelper()
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	client := platform.NewClient(c.PlatformURL, hc)
	var out []platform.LogRecord
	next := uint64(1)
	for {
		page, err := client.Read(bg, next, logPage, 0)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			next, out = trimmed.First, nil
			continue
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if len(page.Records) == 0 {
			return out
		}
		out = append(out, page.Records...)
		next = out[len(out)-1].Offset + 1
	}
}
