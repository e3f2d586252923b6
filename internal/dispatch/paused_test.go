package dispatch

import (
	"bytes"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/planlease"
)

// recorder is a connection that records what is written.
type recorder struct {
	net.Conn
	bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) { return r.Buffer.Write(p) }
func (r *recorder) Read(p []byte) (int, error)  { return r.Buffer.Read(p) }

// A process is paused between picking an endpoint and writing the request, and
// the endpoint leaves in the meantime. Nothing may be written after the pause,
// and the request counts as not sent. A request that is already partly written
// continues.
func TestNothingIsWrittenAfterAPause(t *testing.T) {
	g := NewWithT(t)
	raw := &recorder{}
	c := newConn(raw)
	c.acceptingAt = planlease.Boottime() - maxAcceptingAge - 1
	_, err := c.Write([]byte("POST"))
	g.Expect(err).To(BeAssignableToTypeOf(&PausedError{}))
	g.Expect(raw.Len()).To(BeZero())
	g.Expect(c.classifyError("w", err)).To(BeAssignableToTypeOf(&NotSentError{}))

	c.acceptingAt = planlease.Boottime()
	_, err = c.Write([]byte("POST"))
	g.Expect(err).NotTo(HaveOccurred())
	c.acceptingAt -= maxAcceptingAge + 1
	_, err = c.Write([]byte(" rest"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(raw.String()).To(Equal("POST rest"))
}
