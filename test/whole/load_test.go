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

// answerFaults are the faults of the workers of a pool, one each.
var answerFaults = []standin.EndpointFault{
	{CutBody: true}, {Duplicate: true}, {RepeatLate: true}, {Cross: true}, {WrongRequestID: true},
	{RepeatLate: true, NoRequestID: true},
}

const (
	faultProbability = 1.0 / 3
	requestCount     = 3000
	requestRate      = 400
)

var _ = Describe("Callers of faulty endpoints", func() {
	// Each worker of the pool truncates, duplicates, repeats or swaps a third of
	// its answers, or answers with a wrong or missing request id. All callers share
	// the connections. Callers may see errors, some of which retries hide, but
	// never the answer to another request or to a request that did not run.
	It("get their own answers or errors", func() {
		c := newCluster()
		setFaults(c)
		sum := c.Load(load.Options{Services: []string{poolTabs}, Rate: requestRate, Count: requestCount,
			WorkMillis: 5, PlainPostShare: 0.5, Seed: 5}).Wait()
		AddReportEntry("outcomes", ReportEntryVisibilityAlways, fmt.Sprintf("%v", sum.Outcomes))
		Expect(sum.WrongAnswers.Count).To(BeZero())
		Expect(sum.Outcomes[load.RefusedUnknown]).NotTo(BeZero(), "no fault affected a request")
	})

	// An HTTP/1.0 client, as in some balancers, treats the end of the connection
	// as the end of the answer. A long answer without a length that the endpoint
	// truncates would look complete to it.
	It("do not get a truncated answer as complete over HTTP/1.0", func() {
		c := newCluster()
		a := &soloClient{cluster: c}
		a.setFault(standin.EndpointFault{AnswerBytes: largeAnswer, Chunked: true, CutBody: true})
		resp, err := getHTTP10(c.Entry(0), "/"+poolSolo+"/item/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get("Content-Type")).To(Equal(dispatch.ProblemContentType))
	})
})

// setFaults sets one of answerFaults on each worker of the pool, with its own
// seed.
func setFaults(c *harness.Cluster) {
	GinkgoHelper()
	rows, err := c.Standin.Instances(GinkgoT().Context())
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, row := range rows {
		if row.Kind != platform.KindWorker || row.Pool != poolTabs {
			continue
		}
		f := answerFaults[n%len(answerFaults)]
		f.Probability, f.Seed = faultProbability, uint64(n)
		Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), row.ID, f)).To(Succeed())
		n++
	}
	Expect(n).To(Equal(tabsCount))
}

// getHTTP10 sends a GET request as an HTTP/1.0 client.
func getHTTP10(entry *harness.Process, path string) (*http.Response, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(entry.CallerURL(), "http://"))
	if err != nil {
		return nil, err
	}
	DeferCleanup(conn.Close)
	if err := conn.SetDeadline(time.Now().Add(harness.Timeout)); err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.0\r\n\r\n")); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}
