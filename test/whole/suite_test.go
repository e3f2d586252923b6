// Package whole_test proves that a caller gets the whole answer to its own
// request or an error, whatever endpoints do with their answers.
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
	// solo is a pool of one worker, whose connections all requests share.
	solo   = "solo"
	worker = "w001"
	// poolTabs has some of the other workers.
	poolTabs = "tabs"
	tabs     = 6
	// shortDeadline is that of callers who give up.
	shortDeadline = 150 * time.Millisecond
	// largeAnswer is streamed: it is more than an entry keeps in memory.
	largeAnswer = 1 << 20
)

// formed is a fleet with one entry, through which all answers come.
func formed() *harness.Cluster {
	GinkgoHelper()
	c := harness.New(harness.Options{Entries: 1, Controls: 1})
	c.Form(harness.Manifest(1,
		harness.ServicePool{Name: solo, IDs: []string{worker}, MinAvailable: 1},
		harness.ServicePool{Name: poolTabs, Count: tabs, MinAvailable: 2}))
	return c
}

// callers sends requests to the pool of one worker and tells what came.
type callers struct {
	cluster *harness.Cluster
	n       int
}

// fault sets what the worker does with the next answers.
func (a *callers) fault(f standin.EndpointFault) {
	GinkgoHelper()
	Expect(a.cluster.Standin.SetEndpointFault(GinkgoT().Context(), worker, f)).To(Succeed())
}

// next plans a charge with a body of its own, under the given id or a new one.
func (a *callers) next(id string) harness.Request {
	a.n++
	body := fmt.Sprintf("charge %d", a.n)
	if id == "" {
		id = fmt.Sprintf("request-%d", a.n)
	}
	return harness.Request{ID: id, Method: http.MethodPost, Service: solo, Body: body}
}

func (a *callers) send(r harness.Request) harness.Reply {
	GinkgoHelper()
	return a.cluster.Entry(0).Send(r)
}

// expectOwn expects the whole and own answer.
func (a *callers) expectOwn(r harness.Request) {
	GinkgoHelper()
	got := a.send(r)
	Expect(got.Own(r)).To(BeTrue(), "%s: %d %v %s", r.ID, got.Status, got.Err, clip(got.Body))
}

// expectNothingElse expects the own answer or an error.
func expectNothingElse(r harness.Request, got harness.Reply) {
	GinkgoHelper()
	if got.Err != nil || got.Refused {
		return
	}
	Expect(got.Own(r)).To(BeTrue(), "%s: %d %s", r.ID, got.Status, clip(got.Body))
}

// clip bounds what is printed of an answer.
func clip(body []byte) []byte {
	const most = 400
	return body[:min(len(body), most)]
}
