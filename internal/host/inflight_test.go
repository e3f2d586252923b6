package host

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/planlease"
)

// untilGivenUp answers a request once its context ends, as one does whose owner is silent.
var untilGivenUp = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-time.After(10 * time.Second):
		w.WriteHeader(http.StatusOK)
	}
})

// A caller hands a job in while the node stops, and its connection closes without an
// answer: the job's owner is silent for longer than the node waits.
func TestARequestIsAnsweredBeforeItsConnectionCloses(t *testing.T) {
	g := NewWithT(t)
	var f inFlight
	closes := planlease.Boottime() + answerMargin + 100*time.Millisecond
	f.closeAt(closes)
	answer := httptest.NewRecorder()
	f.bound(untilGivenUp).ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/q/1", nil))
	g.Expect(answer.Code).To(Equal(http.StatusGatewayTimeout))
	g.Expect(planlease.Boottime()).To(BeNumerically("<", closes))
}

// A request that comes when the connections are about to close is answered at once.
func TestARequestThatComesTooLateIsAnsweredAtOnce(t *testing.T) {
	g := NewWithT(t)
	var f inFlight
	f.closeAt(planlease.Boottime())
	answer := httptest.NewRecorder()
	f.bound(untilGivenUp).ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/q/1", nil))
	g.Expect(answer.Code).To(Equal(http.StatusGatewayTimeout))
}
