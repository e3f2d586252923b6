package host

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/planlease"
)

// waitForContextEnd answers a request when its context ends, as a request does
// whose owner doesn't respond.
var waitForContextEnd = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-time.After(10 * time.Second):
		w.WriteHeader(http.StatusOK)
	}
})

// A caller submits a job while the node shuts down, and the job's owner doesn't
// respond before the connections close. The caller must get an answer before
// that.
func TestRequestDuringShutdownIsAnsweredBeforeConnectionCloses(t *testing.T) {
	g := NewWithT(t)
	var f requestDeadline
	closes := planlease.Boottime() + answerMargin + 100*time.Millisecond
	f.setCloseTime(closes)
	answer := httptest.NewRecorder()
	f.wrap(waitForContextEnd).ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/q/1", nil))
	g.Expect(answer.Code).To(Equal(http.StatusGatewayTimeout))
	g.Expect(planlease.Boottime()).To(BeNumerically("<", closes))
}

// A request that arrives just before the connections close is answered at once.
func TestRequestAfterDeadlineIsAnsweredAtOnce(t *testing.T) {
	g := NewWithT(t)
	var f requestDeadline
	f.setCloseTime(planlease.Boottime())
	answer := httptest.NewRecorder()
	f.wrap(waitForContextEnd).ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/q/1", nil))
	g.Expect(answer.Code).To(Equal(http.StatusGatewayTimeout))
}
