package peer

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
)

var _ = Describe("an expired call", func() {
	// Guards against an overloaded process that spends its time on calls that no caller waits for,
	// and against a caller that can't tell that such a call was not handled.
	It("is reset as not handled before its body is decoded", func() {
		checkLeaks()
		ca := newAuthority()
		b := startNode(ca.options("b", "1"))
		var handled atomic.Int64
		Handle(b, "count", func(context.Context, Identity, ping) (ping, error) {
			handled.Add(1)
			return ping{}, nil
		})
		opts := ca.options("a", "1")
		conn, err := quic.DialAddr(contextWithTimeout(waitTimeout), b.LocalAddr().String(), clientTLS(opts.TLS, deployment), dialConfig())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(conn.CloseWithError(0, "")).To(Succeed()) })
		Expect(sendHello(conn)).To(Succeed())

		// The caller's time passes between the header and the end of the request.
		malformed := []byte{0x9f, 0x01} // would close the connection if it were decoded
		stream, err := conn.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		head, err := encode(callHeader{Kind: "count", TimeoutMillis: 20}, maxHeader)
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Write(appendFrame(nil, head))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(60 * time.Millisecond)
		_, err = stream.Write(appendFrame(nil, malformed))
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Close()).To(Succeed())
		_, err = stream.Read(make([]byte, 1))
		Expect(err).To(And(HaveField("Remote", true), HaveField("ErrorCode", streamRefused)))
		Expect(handled.Load()).To(BeZero())
		Expect(conn.Context().Err()).NotTo(HaveOccurred())
	})

	It("without a time, or before it has passed, is handled", func() {
		Expect(callHeader{}.expired(time.Hour)).To(BeFalse())
		Expect(callHeader{TimeoutMillis: 20}.expired(19 * time.Millisecond)).To(BeFalse())
		Expect(callHeader{TimeoutMillis: 20}.expired(20 * time.Millisecond)).To(BeTrue())
	})
})
