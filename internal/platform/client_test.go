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

// answer serves one status, with headers and a body.
func answer(status int, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if header != "" {
			w.Header().Set(header, "true")
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// cut closes the connection in the middle of the answer.
func cut(w http.ResponseWriter, _ *http.Request) {
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

	// What the caller must learn is whether its call can have had an effect.
	// Only where no byte was sent, or the platform vouches for it, may a
	// mutating call be called unavailable; everything else is unknown.
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
		Entry("500", answer(500, "", "oops"), unknown, unavailable),
		Entry("503 without a word", answer(503, "", ""), unknown, unavailable),
		Entry("503 not applied", answer(503, platform.HeaderNotApplied, ""), unavailable, unavailable),
		Entry("answer cut", http.HandlerFunc(cut), unknown, unavailable),
		Entry("answer malformed", answer(200, "", "{"), unknown, unavailable),
		Entry("409", answer(409, "", "busy"), rejected, rejected),
		Entry("redirect", answer(307, "", ""), rejected, rejected),
		Entry("410", answer(410, "", `{"from":1,"first":7}`), trimmed, trimmed),
	)

	It("calls an append that found no listener unavailable", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(ln.Close()).To(Succeed())
		_, err = platform.NewClient("http://"+ln.Addr().String(), nil).Append(context.Background(), nil)
		Expect(err).To(BeAssignableToTypeOf(unavailable))
	})

	It("calls a call that was given up after sending unknown", func() {
		release := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-release }))
		defer srv.Close()
		defer close(release)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := platform.NewClient(srv.URL, nil).Fence(ctx, "w1", "op1")
		Expect(err).To(BeAssignableToTypeOf(unknown))
	})

	// A kept-alive connection that the server closes upon the next request is
	// where a transport sends again by itself. The append would then stand in
	// the log twice, and the caller would know of one.
	It("sends an append once when a kept-alive connection dies under it", func() {
		var appends atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if appends.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			answer(200, "", `{"offset":1}`)(w, r)
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
