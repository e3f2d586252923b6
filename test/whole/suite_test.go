// Package whole_test tests that a caller gets either the complete answer to
// its own request or an error. Its specs make endpoints delay, duplicate,
// swap, truncate or mislabel answers, on one worker and on a pool under load,
// and compare each answer with its request. It runs as a Ginkgo suite under
// go test.
package whole_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

func TestWhole(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Whole answers")
}

var _ = AfterSuite(harness.RemoveBinaries)

const (
	// poolSolo is a pool of one worker, so that all requests share its
	// connections.
	poolSolo   = "solo"
	soloWorker = "w001"
	// poolTabs is a pool of several other workers.
	poolTabs  = "tabs"
	tabsCount = 6
	// shortDeadline is the deadline of requests that are meant to time out.
	shortDeadline = 150 * time.Millisecond
	// largeAnswer exceeds what an entry buffers in memory, so that it streams
	// the answer.
	largeAnswer = 1 << 20
)

// newCluster forms a fleet with one entry, so that all answers pass through
// it.
func newCluster() *harness.Cluster {
	GinkgoHelper()
	c := harness.New(harness.Options{Entries: 1, Controls: 1})
	c.Form(harness.Manifest(1,
		harness.ServicePool{Name: poolSolo, IDs: []string{soloWorker}, MinAvailable: 1},
		harness.ServicePool{Name: poolTabs, Count: tabsCount, MinAvailable: 2}))
	return c
}

// soloClient sends requests to the worker of poolSolo and checks the answers.
type soloClient struct {
	cluster *harness.Cluster
	n       int
}

// setFault sets the fault of the worker for its next answers.
func (a *soloClient) setFault(f standin.EndpointFault) {
	GinkgoHelper()
	Expect(a.cluster.Standin.SetEndpointFault(GinkgoT().Context(), soloWorker, f)).To(Succeed())
}

// nextRequest builds a non-idempotent request with a unique body, under the
// given ID or, if that is empty, a new one.
func (a *soloClient) nextRequest(id string) harness.Request {
	a.n++
	body := fmt.Sprintf("charge %d", a.n)
	if id == "" {
		id = fmt.Sprintf("request-%d", a.n)
	}
	return harness.Request{ID: id, Method: http.MethodPost, Service: poolSolo, Body: body}
}

func (a *soloClient) send(r harness.Request) harness.Reply {
	GinkgoHelper()
	return a.cluster.Entry(0).Send(r)
}

// expectOwnAnswer sends the request and expects its own complete answer.
func (a *soloClient) expectOwnAnswer(r harness.Request) {
	GinkgoHelper()
	got := a.send(r)
	Expect(got.IsAnswerTo(r)).To(BeTrue(), "%s: %d %v %s", r.ID, got.Status, got.Err, truncate(got.Body))
}

// expectOwnAnswerOrError expects the complete answer to the request, a
// refusal or a transport error.
func expectOwnAnswerOrError(r harness.Request, got harness.Reply) {
	GinkgoHelper()
	if got.Err != nil || got.Refused {
		return
	}
	Expect(got.IsAnswerTo(r)).To(BeTrue(), "%s: %d %s", r.ID, got.Status, truncate(got.Body))
}

// truncate limits how much of an answer is printed.
func truncate(body []byte) []byte {
	const most = 400
	return body[:min(len(body), most)]
}
