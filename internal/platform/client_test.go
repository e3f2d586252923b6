package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform client")
}

// respondWith serves a status and a body, with header set to "true" unless it is empty.
func respondWith(status int, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if header != "" {
			w.Header().Set(header, "true")
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// abortMidResponse closes the connection in the middle of the response.
func abortMidResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"off`)
	panic(http.ErrAbortHandler)
}

var _ = Describe("Client", func() {
	var (
		unavailable *platform.UnavailableError
		unknown     *platform.OutcomeUnknownError
		rejected    *platform.RejectedError
		trimmed     *platform.TrimmedError
	)

	// Callers need to know whether a call may have had an effect. A mutating call is reported
	// as unavailable only if nothing was sent or the platform guarantees that it had no
	// effect; every other failure without a rejection has an unknown outcome.
	DescribeTable("maps failures", func(h http.HandlerFunc, onAppend, onRead any) {
		srv := httptest.NewUnstartedServer(h)
		srv.Config.ErrorLog = nil
		srv.Start()
		defer srv.Close()
		c := platform.NewClient(srv.URL, nil)
		defer c.CloseIdleConnections()
		_, err := c.Append(context.Background(), []byte("x"))
		Expect(err).To(BeAssignableToTypeOf(onAppend))
		_, err = c.Read(context.Background(), 1, 10, 0)
		Expect(err).To(BeAssignableToTypeOf(onRead))
	},
		Entry("500", respondWith(500, "", "oops"), unknown, unavailable),
		Entry("503 without a header", respondWith(503, "", ""), unknown, unavailable),
		Entry("503 not applied", respondWith(503, platform.HeaderNotApplied, ""), unavailable, unavailable),
		Entry("incomplete response", http.HandlerFunc(abortMidResponse), unknown, unavailable),
		Entry("malformed response", respondWith(200, "", "{"), unknown, unavailable),
		Entry("409", respondWith(409, "", "busy"), rejected, rejected),
		Entry("redirect", respondWith(307, "", ""), rejected, rejected),
		Entry("410", respondWith(410, "", `{"from":1,"first":7}`), trimmed, trimmed),
	)

	It("returns UnavailableError for an append if nothing listens at the address", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(ln.Close()).To(Succeed())
		_, err = platform.NewClient("http://"+ln.Addr().String(), nil).Append(context.Background(), nil)
		Expect(err).To(BeAssignableToTypeOf(unavailable))
	})

	It("returns OutcomeUnknownError for a call that times out after it was sent", func() {
		release := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-release }))
		defer srv.Close()
		defer close(release)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := platform.NewClient(srv.URL, nil).Fence(ctx, "w1", "op1")
		Expect(err).To(BeAssignableToTypeOf(unknown))
	})

	// Guards against the transport's automatic retry when the server closes a kept-alive
	// connection on the next request: the log would have the record twice, and the caller
	// would be told of one.
	It("sends an append only once if its kept-alive connection is closed", func() {
		var appends atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if appends.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			respondWith(200, "", `{"offset":1}`)(w, r)
		}))
		defer srv.Close()
		c := platform.NewClient(srv.URL, nil)
		_, err := c.Append(context.Background(), []byte("one"))
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Append(context.Background(), []byte("two"))
		Expect(err).To(BeAssignableToTypeOf(unknown))
		Expect(appends.Load()).To(BeEquivalentTo(2))
	})
})
