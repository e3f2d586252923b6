package peer

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
)

var _ = Describe("the caller's time", func() {
	var b *Node
	var conn *quic.Conn
	BeforeEach(func() {
		checkLeaks()
		ca := newAuthority()
		b = startNode(ca.options("b", "1"))
		opts := ca.options("a", "1")
		var err error
		conn, err = quic.DialAddr(contextWithTimeout(waitTimeout), b.LocalAddr().String(), clientTLS(opts.TLS, deployment), dialConfig())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(conn.CloseWithError(0, "")).To(Succeed()) })
		Expect(sendHello(conn)).To(Succeed())
	})

	// sendSlowly sends the header of a call, and its body after the given time.
	sendSlowly := func(head callHeader, after time.Duration, body []byte) *quic.Stream {
		stream, err := conn.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		data, err := encode(head, maxHeader)
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Write(appendFrame(nil, data))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(after)
		_, err = stream.Write(appendFrame(nil, body))
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Close()).To(Succeed())
		return stream
	}

	// Guards against an overloaded process that spends its time on calls that no caller waits for,
	// and against a caller that can't tell that such a call was not handled.
	It("resets a call as not handled before its body is decoded", func() {
		var handled atomic.Int64
		Handle(b, "count", func(context.Context, Identity, ping) (ping, error) {
			handled.Add(1)
			return ping{}, nil
		})
		malformed := []byte{0x9f, 0x01} // would close the connection if it were decoded
		stream := sendSlowly(callHeader{Kind: "count", TimeoutMillis: 20}, 60*time.Millisecond, malformed)
		_, err := stream.Read(make([]byte, 1))
		Expect(err).To(And(HaveField("Remote", true), HaveField("ErrorCode", streamRefused)))
		Expect(handled.Load()).To(BeZero())
		Expect(conn.Context().Err()).NotTo(HaveOccurred())
	})

	// Guards against a handler whose answer arrives after its caller's time, because the time that
	// the request took to arrive was not counted.
	It("counts from the moment that the stream is accepted", func() {
		left := make(chan time.Duration, 1)
		Handle(b, "left", func(ctx context.Context, _ Identity, _ ping) (ping, error) {
			deadline, _ := ctx.Deadline()
			left <- time.Until(deadline)
			return ping{}, nil
		})
		body, err := encode(ping{}, maxHeader)
		Expect(err).NotTo(HaveOccurred())
		timeout, arrival := 20*time.Second, 300*time.Millisecond
		sendSlowly(callHeader{Kind: "left", TimeoutMillis: timeout.Milliseconds()}, arrival, body)
		var got time.Duration
		Eventually(left).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got).To(BeNumerically("<=", min(timeout, defaultCallTimeout)-arrival/2))
	})

	It("has not passed before it ends, or if it is unknown", func() {
		Expect(callHeader{}.expired(time.Hour)).To(BeFalse())
		Expect(callHeader{TimeoutMillis: 20}.expired(19 * time.Millisecond)).To(BeFalse())
		Expect(callHeader{TimeoutMillis: 20}.expired(20 * time.Millisecond)).To(BeTrue())
	})
})
