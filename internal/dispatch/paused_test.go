package dispatch

import (
	"bytes"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/planlease"
)

// recorder is a connection that keeps what is written.
type recorder struct {
	net.Conn
	bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) { return r.Buffer.Write(p) }
func (r *recorder) Read(p []byte) (int, error)  { return r.Buffer.Read(p) }

// A process is paused between picking an endpoint and writing the request. The
// endpoint leaves meanwhile. When the process wakes nothing may go out, and the
// caller's request counts as not sent; a request that has begun goes on.
func TestNothingIsWrittenAfterAPause(t *testing.T) {
	g := NewWithT(t)
	raw := &recorder{}
	c := newConn(raw)
	c.vouched = planlease.Boottime() - vouchedFor - 1
	_, err := c.Write([]byte("POST"))
	g.Expect(err).To(BeAssignableToTypeOf(&PausedError{}))
	g.Expect(raw.Len()).To(BeZero())
	g.Expect(c.failure("w", err)).To(BeAssignableToTypeOf(&NotSentError{}))

	c.vouched = planlease.Boottime()
	_, err = c.Write([]byte("POST"))
	g.Expect(err).NotTo(HaveOccurred())
	c.vouched -= vouchedFor + 1
	_, err = c.Write([]byte(" rest"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(raw.String()).To(Equal("POST rest"))
}
