package whole_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

// faulty is what the workers of a pool do with a third of their answers.
var faulty = []standin.EndpointFault{
	{CutBody: true}, {Duplicate: true}, {RepeatLate: true}, {Cross: true}, {WrongRequestID: true},
	{RepeatLate: true, NoRequestID: true},
}

const (
	faultyPart     = 1.0 / 3
	faultyRequests = 3000
	faultyRate     = 400
)

var _ = Describe("Callers of endpoints that do everything wrong", func() {
	// Each worker of the pool cuts, doubles, repeats or crosses a third of its
	// answers, under load on connections that all callers share. Callers see
	// errors, retries hide some of them; nobody sees an answer that is not its
	// own, or one of a request that did not run.
	It("get their own answers or errors", func() {
		c := formed()
		setFaults(c)
		sum := c.Load(load.Options{Services: []string{poolTabs}, Rate: faultyRate, Count: faultyRequests,
			WorkMillis: 5, PlainPostShare: 0.5, Seed: 5}).Wait()
		AddReportEntry("outcomes", ReportEntryVisibilityAlways, fmt.Sprintf("%v", sum.Outcomes))
		Expect(sum.WrongAnswers.Count).To(BeZero())
		Expect(sum.Outcomes[load.RefusedUnknown]).NotTo(BeZero(), "no fault was met")
	})

	// A caller of HTTP/1.0, as some balancers are, takes the end of the
	// connection for the end of the answer. A long answer without a length that
	// the endpoint breaks off would look complete.
	It("are not given a part for the whole over HTTP/1.0", func() {
		c := formed()
		a := &callers{cluster: c}
		a.fault(standin.EndpointFault{AnswerBytes: largeAnswer, Chunked: true, CutBody: true})
		resp, err := getHTTP10(c.Entry(0), "/"+solo+"/item/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get("Content-Type")).To(Equal(dispatch.ProblemContentType))
	})
})

// setFaults gives each worker of the pool a fault of its own.
func setFaults(c *harness.Cluster) {
	GinkgoHelper()
	rows, err := c.Standin.Instances(GinkgoT().Context())
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, row := range rows {
		if row.Kind != platform.KindWorker || row.Pool != poolTabs {
			continue
		}
		f := faulty[n%len(faulty)]
		f.Probability, f.Seed = faultyPart, uint64(n)
		Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), row.ID, f)).To(Succeed())
		n++
	}
	Expect(n).To(Equal(tabs))
}

// getHTTP10 sends a request as a client of HTTP/1.0 does.
func getHTTP10(entry *harness.Process, path string) (*http.Response, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(entry.CallerURL(), "http://"))
	if err != nil {
		return nil, err
	}
	DeferCleanup(conn.Close)
	if err := conn.SetDeadline(time.Now().Add(harness.Patience)); err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.0\r\n\r\n")); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}
