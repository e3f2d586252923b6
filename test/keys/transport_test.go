package keys_test

import (
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

// warmRequests are as many as an entry has slots, so that it keeps a
// connection to every endpoint.
const warmRequests = 48

// warm has an entry keep connections to all endpoints.
func warm(e *harness.Process) {
	GinkgoHelper()
	var done sync.WaitGroup
	for range warmRequests {
		done.Go(func() {
			req, err := http.NewRequest(http.MethodGet, e.CallerURL()+"/"+pool+"/item", http.NoBody)
			if err != nil {
				return
			}
			req.Header.Set(standin.HeaderWork, "50")
			_ = read((&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req))
		})
	}
	done.Wait()
}

var _ = Describe("An endpoint that closes a kept-alive connection after reading the request", func() {
	// The endpoint has run the charge and closes without a byte of an answer.
	// To Go's http.Transport this looks like a connection that was closed while
	// idle: it would silently send a request with an Idempotency-Key again, if
	// that has no body or one that it can rewind, and the charge would run a
	// second time behind a single answer. The caller is told that the outcome
	// is unknown, the first time and ever after.
	DescribeTable("runs a charge once",
		func(ch charge) {
			c := formed(entryCount, nil)
			warm(c.Entry(0))
			for _, w := range workers(c) {
				Expect(c.Standin.SetEndpointFault(bg, w, standin.EndpointFault{CloseAfterRun: true})).To(Succeed())
			}
			r := send(bg, c.Entry(0), ch)
			Expect(r.refused()).To(BeTrue(), r.String())
			Expect(r.problem.Ran).To(Equal(dispatch.RanUnknown), r.String())
			Expect(runsOf(c, ch.key)).To(HaveLen(1))
			for _, w := range workers(c) {
				Expect(c.Standin.SetEndpointFault(bg, w, standin.EndpointFault{})).To(Succeed())
			}
			if ch.key == "" {
				return
			}
			for _, e := range c.Entries() {
				expectRefused(settled(e, ch), dispatch.TypeKeyUnknown, dispatch.RanUnknown)
			}
			Expect(runsOf(c, ch.key)).To(HaveLen(1))
			c.Check()
		},
		Entry("with a key and a body", charge{key: "closed-body", body: strings.Repeat("tab", 100)}),
		Entry("with a key and no body", charge{key: "closed"}),
		Entry("without a key", charge{body: "tab"}))
})

// workers names all endpoints of the pool.
func workers(c *harness.Cluster) []string {
	GinkgoHelper()
	all, err := c.Standin.Instances(bg)
	Expect(err).NotTo(HaveOccurred())
	var out []string
	for _, row := range all {
		if row.Pool == pool {
			out = append(out, row.ID)
		}
	}
	return out
}
