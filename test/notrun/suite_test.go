// Package notrun_test proves that a request refused as not run did not run,
// and that a refusal comes as soon as the request has been given up.
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
	// solo is a pool of one worker: a request that fails there has nowhere
	// else to go.
	solo   = "solo"
	worker = "w001"
	// poolTabs has the other workers.
	poolTabs = "tabs"
	tabs     = 8
	// longDeadline is the services': no refusal that is held back until then
	// comes within a test's patience.
	longDeadline = 5 * time.Minute
)

func pools() *manifest.Manifest {
	m := harness.Manifest(1,
		harness.ServicePool{Name: solo, IDs: []string{worker}, MinAvailable: 1},
		harness.ServicePool{Name: poolTabs, Count: tabs, MinAvailable: 2})
	for i := range m.Services {
		for j := range m.Services[i].Classes {
			m.Services[i].Classes[j].DeadlineMillis = longDeadline.Milliseconds()
		}
	}
	return m
}

// formed is a fleet with some entries.
func formed(entries int) *harness.Cluster {
	GinkgoHelper()
	c := harness.New(harness.Options{Entries: entries, Controls: 1})
	c.Form(pools())
	return c
}

// verdicts holds what callers were told of their requests.
type verdicts struct {
	cluster *harness.Cluster
	spec    string // begins the ids of this spec's requests
	told    map[string]verdict
}

// verdict is what one caller was told: that its request was answered, or what
// the refusal says of its having run.
type verdict struct {
	method string
	ran    dispatch.Ran
}

func judge(c *harness.Cluster) *verdicts {
	return &verdicts{cluster: c, spec: fmt.Sprintf("%d-", CurrentSpecReport().LineNumber()), told: map[string]verdict{}}
}

// send sends a request to the pool of one worker and returns what its caller
// was told.
func (v *verdicts) send(id, method, body string) dispatch.Ran {
	GinkgoHelper()
	id = v.spec + id
	got := v.cluster.Entry(0).Send(harness.Request{ID: id, Method: method, Service: solo, Body: body})
	Expect(got.Err).NotTo(HaveOccurred(), id)
	told := verdict{method: method, ran: dispatch.RanYes}
	if got.Refused {
		told.ran = got.Problem.Ran
	}
	v.told[id] = told
	return told.ran
}

// count tells how many callers were told so.
func (v *verdicts) count(ran dispatch.Ran) int {
	n := 0
	for _, told := range v.told {
		if told.ran == ran {
			n++
		}
	}
	return n
}

// check compares what callers were told with what the endpoints ran, once
// nothing is under way any more.
func (v *verdicts) check() {
	GinkgoHelper()
	ran := v.settledRuns()
	maybe := 0
	for id, told := range v.told {
		switch {
		case told.ran == dispatch.RanNo:
			Expect(ran[id]).To(BeZero(), "%s was refused as not run", id)
		case told.ran == dispatch.RanYes:
			Expect(ran[id]).NotTo(BeZero(), "%s was answered", id)
		default:
			maybe += min(ran[id], 1)
		}
		if told.method == http.MethodPost {
			Expect(ran[id]).To(BeNumerically("<=", 1), "%s is not idempotent", id)
		}
	}
	AddReportEntry("refusals", ReportEntryVisibilityAlways, fmt.Sprintf(
		"%d requests: %d answered, %d refused as not run, %d as unknown, of which %d had run",
		len(v.told), v.count(dispatch.RanYes), v.count(dispatch.RanNo), v.count(dispatch.RanUnknown), maybe))
}

// settledRuns counts the runs of each request, after all have ended.
func (v *verdicts) settledRuns() map[string]int {
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
	}, harness.Patience, harness.Poll).Should(Succeed())
	return ran
}
