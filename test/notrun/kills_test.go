package notrun_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

// unsentBodyBytes is the announced size of a body that the caller never
// sends.
const unsentBodyBytes = 1000

// sendWithoutBody sends the header of a request with a body and returns the
// refusal that arrives before the body is sent.
func sendWithoutBody(entry *harness.Process, path string, header ...string) (dispatch.Problem, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(entry.CallerURL(), "http://"))
	if err != nil {
		return dispatch.Problem{}, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(harness.Timeout)); err != nil {
		return dispatch.Problem{}, err
	}
	head := append([]string{"POST " + path + " HTTP/1.1", "Host: entry",
		fmt.Sprintf("Content-Length: %d", unsentBodyBytes)}, header...)
	if _, err := conn.Write([]byte(strings.Join(head, "\r\n") + "\r\n\r\n")); err != nil {
		return dispatch.Problem{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return dispatch.Problem{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var p dispatch.Problem
	return p, json.NewDecoder(resp.Body).Decode(&p)
}

// awaitRuns waits until the endpoints have run that many further requests.
func awaitRuns(c *harness.Cluster, more int) {
	GinkgoHelper()
	total := func() int {
		n, err := c.Standin.HistoryTotal(GinkgoT().Context())
		Expect(err).NotTo(HaveOccurred())
		return n
	}
	want := total() + more
	Eventually(total, harness.Timeout, harness.PollInterval).Should(BeNumerically(">=", want))
}

var _ = Describe("A refusal", func() {
	// Under load, entries are killed and restarted, and workers are lost and
	// return. Callers of a killed entry lose their connections and learn nothing
	// about their requests; a request that is refused as not run must not have run.
	It("as not run is correct while entries and endpoints are killed", func() {
		const rounds, between = 2, 150
		c := newCluster(3)
		l := c.Load(load.Options{Services: []string{poolTabs}, Rate: 300, WorkMillis: 20, PlainPostShare: 0.7, Seed: 4})
		for range rounds {
			for i, e := range c.Entries() {
				id := harness.WorkerIDs(i + 2)[0]
				awaitRuns(c, between)
				Expect(c.Standin.SetState(GinkgoT().Context(), id, platform.StateGone)).To(Succeed())
				awaitRuns(c, between)
				e.Restart()
				e.AwaitReady()
				Expect(c.Standin.SetState(GinkgoT().Context(), id, platform.StateLive)).To(Succeed())
			}
		}
		sum := l.Stop()
		Expect(sum.FalseNo.Count).To(BeZero())
		AddReportEntry("kills", ReportEntryVisibilityAlways, fmt.Sprintf("%v", sum.Outcomes))
	})
})
