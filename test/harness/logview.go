package harness

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/platform"
)

// logPage is the number of records per read.
const logPage = 1000

// FoldWith is Fold with a callback: each, if not nil, is called after every
// folded record with the state at that record. It also returns the folded
// records.
func (c *Cluster) FoldWith(each func(*fleetlog.State, fleetlog.Applied)) (*fleetlog.State, []fleetlog.Applied) {
	ginkgo.GinkgoHelper()
	records := c.readLog()
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

// readLog reads the log from the oldest retained record to its head. Platform
// faults on reads also affect it, so the caller clears those first; faults on
// other calls do not.
func (c *Cluster) readLog() []platform.LogRecord {
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
