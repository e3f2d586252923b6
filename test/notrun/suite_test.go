// Package notrun_test tests that a request that an entry refused as not run
// did not run, and that the refusal is sent as soon as the entry stops
// trying. Its specs make connections, endpoints and entries fail at every
// step of a request and compare the refusals with the run history of the
// endpoints. It runs as a Ginkgo suite under go test.
package notrun_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/test/harness"
)

func TestNotRun(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Not run")
}

var _ = AfterSuite(harness.RemoveBinaries)

const (
	// poolSolo is a pool of one worker, so that a failed request cannot be
	// retried on another.
	poolSolo   = "solo"
	soloWorker = "w001"
	// poolTabs is a pool of other workers.
	poolTabs  = "tabs"
	tabsCount = 8
	// longDeadline is the deadline of all request classes. It exceeds the
	// timeouts of the tests, so that a refusal that is held back until the
	// deadline fails a test.
	longDeadline = 5 * time.Minute
)

func newManifest() *manifest.Manifest {
	m := harness.Manifest(1,
		harness.ServicePool{Name: poolSolo, IDs: []string{soloWorker}, MinAvailable: 1},
		harness.ServicePool{Name: poolTabs, Count: tabsCount, MinAvailable: 2})
	for i := range m.Services {
		for j := range m.Services[i].Classes {
			m.Services[i].Classes[j].DeadlineMillis = longDeadline.Milliseconds()
		}
	}
	return m
}

// newCluster forms a fleet with the given number of entries.
func newCluster(entries int) *harness.Cluster {
	GinkgoHelper()
	c := harness.New(harness.Options{Entries: entries, Controls: 1})
	c.Form(newManifest())
	return c
}

// callerOutcomes collects the outcomes that callers got.
type callerOutcomes struct {
	cluster  *harness.Cluster
	idPrefix string // prefix of the request IDs of this spec
	byID     map[string]outcome
}

// outcome is what one caller learned about its request: that it was answered
// (RanYes), or what the refusal says about whether it ran.
type outcome struct {
	method string
	ran    dispatch.Ran
}

func newCallerOutcomes(c *harness.Cluster) *callerOutcomes {
	return &callerOutcomes{cluster: c, idPrefix: fmt.Sprintf("%d-", CurrentSpecReport().LineNumber()), byID: map[string]outcome{}}
}

// send sends a request to the pool of one worker and returns its outcome.
func (v *callerOutcomes) send(id, method, body string) dispatch.Ran {
	GinkgoHelper()
	id = v.idPrefix + id
	got := v.cluster.Entry(0).Send(harness.Request{ID: id, Method: method, Service: poolSolo, Body: body})
	Expect(got.Err).NotTo(HaveOccurred(), id)
	result := outcome{method: method, ran: dispatch.RanYes}
	if got.Refused {
		result.ran = got.Problem.Ran
	}
	v.byID[id] = result
	return result.ran
}

// count returns the number of requests with this outcome.
func (v *callerOutcomes) count(ran dispatch.Ran) int {
	n := 0
	for _, result := range v.byID {
		if result.ran == ran {
			n++
		}
	}
	return n
}

// checkAgainstRuns compares the outcomes with the run history of the
// endpoints, once no request is in flight.
func (v *callerOutcomes) checkAgainstRuns() {
	GinkgoHelper()
	ran := v.runsByID()
	unknownRan := 0
	for id, result := range v.byID {
		switch {
		case result.ran == dispatch.RanNo:
			Expect(ran[id]).To(BeZero(), "%s was refused as not run", id)
		case result.ran == dispatch.RanYes:
			Expect(ran[id]).NotTo(BeZero(), "%s was answered", id)
		default:
			unknownRan += min(ran[id], 1)
		}
		if result.method == http.MethodPost {
			Expect(ran[id]).To(BeNumerically("<=", 1), "%s is not idempotent", id)
		}
	}
	AddReportEntry("refusals", ReportEntryVisibilityAlways, fmt.Sprintf(
		"%d requests: %d answered, %d refused as not run, %d as unknown, of which %d had run",
		len(v.byID), v.count(dispatch.RanYes), v.count(dispatch.RanNo), v.count(dispatch.RanUnknown), unknownRan))
}

// runsByID counts the runs of each request after all have ended.
func (v *callerOutcomes) runsByID() map[string]int {
	GinkgoHelper()
	var ran map[string]int
	Eventually(func(g Gomega) {
		hist, err := v.cluster.Standin.History(GinkgoT().Context(), 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(hist.Dropped).To(BeZero())
		ran = map[string]int{}
		for _, r := range hist.Runs {
			g.Expect(r.EndMicros).NotTo(BeZero(), r.RequestID)
			ran[r.RequestID]++
		}
	}, harness.Timeout, harness.PollInterval).Should(Succeed())
	return ran
}
