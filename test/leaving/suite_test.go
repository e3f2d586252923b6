// Package leaving_test proves that an endpoint that the platform lists as
// leaving gets no new work after a few seconds, whatever an entry is cut off
// from.
package leaving_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

func TestLeaving(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Leaving")
}

var _ = AfterSuite(harness.RemoveBinaries)

const (
	// listLag is the instance list's: a few seconds begin once it shows.
	listLag = 200 * time.Millisecond
	// allowed is how long after its listing an endpoint may get new work.
	allowed = 3 * time.Second
	pool    = "tabs"
	// leavers of the pool's workers are listed as leaving, one by one.
	workers = 24
	leavers = 14
	// callers' requests: some twenty a second for each endpoint at first.
	rate       = 500
	workMillis = 2
	// later is how many requests must have been run elsewhere after the time
	// allowed: the leaving endpoints could have got them.
	later = 300
)

// formed is a fleet of one pool, all of whose workers serve.
func formed() *harness.Cluster {
	GinkgoHelper()
	c := harness.New(harness.Options{Workers: harness.Fleet(4), Lag: listLag, PeerProxies: true})
	c.Form(harness.Manifest(1, harness.ServicePool{Name: pool, Count: workers, MinAvailable: workers - leavers - 2}))
	return c
}

// sendTo starts callers that send to the given entries, all by default.
func sendTo(c *harness.Cluster, entries ...*harness.Process) *harness.Load {
	return c.Load(load.Options{Services: []string{pool}, Rate: rate, WorkMillis: workMillis,
		PlainPostShare: 0.5, Seed: 1}, entries...)
}

// leave has the workers listed as leaving, each once it is given work, and
// waits until enough requests have run elsewhere after the time allowed.
func leave(c *harness.Cluster, count int) []string {
	GinkgoHelper()
	var ids []string
	for i := 1; i <= count; i++ {
		id := harness.WorkerIDs(i)[0]
		awaitWork(c, id)
		Expect(c.Standin.SetState(GinkgoT().Context(), id, platform.StateLeaving)).To(Succeed())
		ids = append(ids, id)
	}
	awaitLater(c, time.Now().Add(listLag+allowed))
	return ids
}

// leaveAtOnce has the workers listed as leaving without waiting for anything.
func leaveAtOnce(c *harness.Cluster, count int) []string {
	GinkgoHelper()
	var ids []string
	for i := 1; i <= count; i++ {
		id := harness.WorkerIDs(i)[0]
		Expect(c.Standin.SetState(GinkgoT().Context(), id, platform.StateLeaving)).To(Succeed())
		ids = append(ids, id)
	}
	return ids
}

// awaitLater waits until enough requests have begun after a moment.
func awaitLater(c *harness.Cluster, moment time.Time) {
	GinkgoHelper()
	bound := moment.UnixMicro()
	Eventually(func() int {
		n := 0
		for _, r := range runs(c) {
			if r.StartMicros > bound {
				n++
			}
		}
		return n
	}, harness.Timeout, 10*harness.PollInterval).Should(BeNumerically(">=", later), "the load has ended")
}

// awaitWork waits until a worker has been given a request.
func awaitWork(c *harness.Cluster, id string) {
	GinkgoHelper()
	from := len(runs(c))
	Eventually(func() bool {
		for _, r := range runs(c)[from:] {
			if r.Instance == id {
				return true
			}
		}
		return false
	}, harness.Timeout, harness.PollInterval).Should(BeTrue(), id+" gets no work")
}

func runs(c *harness.Cluster) []standin.Run {
	GinkgoHelper()
	hist, err := c.Standin.History(GinkgoT().Context(), 1)
	Expect(err).NotTo(HaveOccurred())
	Expect(hist.Dropped).To(BeZero())
	return hist.Runs
}

// lastWork is how long after its listing each instance was last given a
// request; zero where that was before.
func lastWork(c *harness.Cluster, ids []string) map[string]time.Duration {
	GinkgoHelper()
	last := make(map[string]time.Duration, len(ids))
	for _, id := range ids {
		last[id] = 0
	}
	for _, r := range runs(c) {
		if _, leaves := last[r.Instance]; !leaves || r.StateAtStart != platform.StateLeaving {
			continue
		}
		after := time.Duration(r.LeavingMicros)*time.Microsecond - listLag
		last[r.Instance] = max(last[r.Instance], after)
	}
	return last
}

// expectNoneLate prints the distribution of the last new request after the
// listing, and expects it to stay within what is allowed.
func expectNoneLate(what string, last map[string]time.Duration) {
	GinkgoHelper()
	const digits = 3
	hist := hdrhistogram.New(0, time.Hour.Microseconds(), digits)
	for id, after := range last {
		Expect(hist.RecordValue(after.Microseconds())).To(Succeed())
		Expect(after).To(BeNumerically("<=", allowed), id)
	}
	millis := func(micros int64) float64 { return float64(micros) / float64(time.Millisecond/time.Microsecond) }
	AddReportEntry("last new request after the listing", ReportEntryVisibilityAlways, fmt.Sprintf(
		"%s: %d endpoints, p50 %.1f ms, p99 %.1f ms, max %.1f ms", what, len(last),
		millis(hist.ValueAtQuantile(50)), millis(hist.ValueAtQuantile(99)), millis(hist.Max())))
}
