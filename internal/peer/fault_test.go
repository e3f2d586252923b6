package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	quicproxy "github.com/quic-go/quic-go/integrationtests/tools/proxy"
)

// faultyProxy is a UDP proxy in front of one node that drops, duplicates and
// delays packets.
type faultyProxy struct {
	proxy  *quicproxy.Proxy
	frozen atomic.Bool
}

// The shares of packets that are lost, duplicated and delayed; the delay
// reorders them.
const (
	lossShare      = 0.05
	duplicateShare = 0.10
	delayShare     = 0.20
	packetDelay    = 15 * time.Millisecond
)

func newFaultyProxy(to *Node, faults bool) *faultyProxy {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	Expect(err).NotTo(HaveOccurred())
	p := &faultyProxy{}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	occurs := func(share float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return faults && random.Float64() < share
	}
	p.proxy = &quicproxy.Proxy{
		Conn:       conn,
		ServerAddr: to.LocalAddr().(*net.UDPAddr),
		DropPacket: func(dir quicproxy.Direction, _, dst net.Addr, packet []byte) bool {
			if dir == quicproxy.DirectionOutgoing && occurs(duplicateShare) {
				_, _ = conn.WriteTo(packet, dst)
			}
			return p.frozen.Load() || occurs(lossShare)
		},
		DelayPacket: func(quicproxy.Direction, net.Addr, net.Addr, []byte) time.Duration {
			if occurs(delayShare) {
				return packetDelay
			}
			return 0
		},
	}
	Expect(p.proxy.Start()).To(Succeed())
	DeferCleanup(func() { _ = p.proxy.Close(); _ = conn.Close() })
	return p
}

func (p *faultyProxy) addr() string { return p.proxy.LocalAddr().String() }

var _ = Describe("a faulty network", func() {
	var ca *authority
	var a, b *Node
	BeforeEach(func() {
		checkLeaks()
		ca = newAuthority()
		a, b = startNode(ca.options("a", "1")), startNode(ca.options("b", "1"))
	})

	// Packets are lost, duplicated and reordered in both directions. Each call
	// must still run once and get its own answer, and the newest notice must
	// arrive.
	It("runs each call once and returns its own answer", func() {
		proxy := newFaultyProxy(b, true)
		Expect(a.SetPeers(map[string]string{"b": proxy.addr()})).To(Succeed())
		var ran, newest atomic.Int64
		Handle(b, "double", func(_ context.Context, _ Identity, v int) (int, error) {
			ran.Add(1)
			return 2 * v, nil
		})
		HandleNotice(b, "v", func(_ Identity, v int64) { newest.Store(v) })
		const callers, calls = 8, 20
		var wg sync.WaitGroup
		for caller := range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				for i := range calls {
					v := caller*calls + i
					Expect(Call[int, int](contextWithTimeout(waitTimeout), a, "b", "double", v)).To(Equal(2 * v))
					Expect(Notify(a, "b", "v", v)).To(Succeed())
				}
			})
		}
		wg.Wait()
		Expect(ran.Load()).To(BeNumerically("==", callers*calls))
		Expect(Notify(a, "b", "v", 1<<40)).To(Succeed())
		Eventually(newest.Load).WithTimeout(waitTimeout).Should(BeNumerically("==", 1<<40))
	})

	// The peer freezes while the link is open. Notify must not block and must
	// keep only one notice pending; a call that was sent must end with an
	// unknown outcome and a later one as unreachable. After the peer resumes it
	// must receive the newest notice.
	It("does not block on a frozen peer", func() {
		proxy := newFaultyProxy(b, false)
		Expect(a.SetPeers(map[string]string{"b": proxy.addr()})).To(Succeed())
		handleEcho(b)
		var newest atomic.Int64
		HandleNotice(b, "v", func(_ Identity, v int64) { newest.Store(v) })
		Expect(callEcho(contextWithTimeout(waitTimeout), a, "b", "hi")).To(Equal("a/1:hi"))

		proxy.frozen.Store(true)
		_, err := callEcho(contextWithTimeout(waitTimeout), a, "b", "lost")
		Expect(err).To(BeAssignableToTypeOf(&OutcomeUnknownError{}))
		_, err = callEcho(contextWithTimeout(100*time.Millisecond), a, "b", "never sent")
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		const count = 20000
		for v := int64(1); v <= count; v++ {
			Expect(Notify(a, "b", "v", v)).To(Succeed())
		}
		Expect(a.Status()[0].PendingNotices).To(Equal(1))
		Expect(a.Status()[0].Linked).To(BeFalse())

		proxy.frozen.Store(false)
		Eventually(newest.Load).WithTimeout(waitTimeout).Should(BeNumerically("==", count))
	})
})

var _ = Describe("peer authentication", func() {
	var ca *authority
	var b *Node
	BeforeEach(func() {
		checkLeaks()
		ca = newAuthority()
		b = startNode(ca.options("b", "1"))
		handleEcho(b)
	})

	// callBothWays returns the error of a call from a node with these options,
	// and of a call to it.
	callBothWays := func(opts Options) (callerErr, calleeErr error) {
		a := startNode(opts)
		setMutualPeers(a, b)
		_, callerErr = callEcho(contextWithTimeout(waitTimeout), a, "b", "hi")
		_, calleeErr = callEcho(contextWithTimeout(waitTimeout), b, "a", "hi")
		return callerErr, calleeErr
	}

	It("rejects a certificate of another authority", func() {
		opts := newAuthority().options("a", "1")
		opts.TLS.RootCAs = ca.pool // a trusts b's authority, but b doesn't trust a's
		calling, called := callBothWays(opts)
		Expect(calling).To(BeAssignableToTypeOf(&UnreachableError{}))
		var cert *CertificateError
		Expect(errors.As(called, &cert)).To(BeTrue(), "%v", called)
	})

	It("rejects a certificate of another deployment or without a valid name", func() {
		for _, uri := range []string{"mainland", ""} {
			opts := ca.options("a", "1")
			opts.TLS = ca.tls(CertificateURI(uri, "entry", "a"))
			calling, called := callBothWays(opts)
			Expect(calling).To(BeAssignableToTypeOf(&UnreachableError{}))
			Expect(called).To(MatchError(ContainSubstring("not of this deployment")))
		}
	})

	It("rejects a hello with another ID, and an unexpected process at an address", func() {
		opts := ca.options("a", "1")
		opts.Self.ID = "c"
		calling, _ := callBothWays(opts)
		Expect(calling).To(MatchError(ContainSubstring("peer should be entry/a and is entry/c")))
		a := startNode(ca.options("a", "1"))
		Expect(a.SetPeers(map[string]string{"x": b.LocalAddr().String()})).To(Succeed())
		_, err := callEcho(contextWithTimeout(waitTimeout), a, "x", "hi")
		var wrong *IdentityError
		Expect(errors.As(err, &wrong)).To(BeTrue())
	})

	It("rejects options that would trust every authority", func() {
		opts := ca.options("a", "1")
		opts.TLS = &tls.Config{}
		_, err := NewNode(opts)
		Expect(err).To(BeAssignableToTypeOf(&OptionsError{}))
	})

	// A peer with a valid certificate sends bytes that violate the protocol.
	// The node must close its connection as malformed and continue to serve
	// others.
	DescribeTable("closes a connection that violates the protocol",
		func(send func(conn *quic.Conn) error) {
			opts := ca.options("a", "1")
			conn, err := quic.DialAddr(contextWithTimeout(waitTimeout), b.LocalAddr().String(), clientTLS(opts.TLS, deployment), dialConfig())
			Expect(err).NotTo(HaveOccurred())
			Expect(send(conn)).To(Succeed())
			Eventually(conn.Context().Done()).WithTimeout(waitTimeout).Should(BeClosed())
			Expect(context.Cause(conn.Context())).To(And(HaveField("Remote", true), HaveField("ErrorCode", codeMalformed)))
			a := startNode(ca.options("c", "1"))
			setMutualPeers(a, b)
			Expect(callEcho(contextWithTimeout(waitTimeout), a, "b", "hi")).To(Equal("c/1:hi"))
		},
		Entry("no hello", func(conn *quic.Conn) error { return sendRaw(conn, []byte("GET / HTTP/1.1\r\n")) }),
		Entry("an oversized header", func(conn *quic.Conn) error {
			return errors.CombineErrors(sendHello(conn), sendRaw(conn, []byte{0xff, 0xff, 0xff, 0xff}))
		}),
		Entry("an oversized body", func(conn *quic.Conn) error {
			return errors.CombineErrors(sendHello(conn), sendRaw(conn, append(encodeCallHeader("echo"), 0, 0xff, 0, 0)))
		}),
		Entry("a body that isn't CBOR", func(conn *quic.Conn) error {
			return errors.CombineErrors(sendHello(conn), sendRaw(conn, appendFrame(encodeCallHeader("echo"), []byte{0x9f, 0x01})))
		}),
		Entry("a truncated notice", func(conn *quic.Conn) error {
			stream, err := conn.OpenUniStream()
			Expect(err).NotTo(HaveOccurred())
			_, err = stream.Write([]byte{0, 0, 0, 9, 1})
			return errors.CombineErrors(errors.CombineErrors(sendHello(conn), err), stream.Close())
		}),
	)
})

func sendRaw(conn *quic.Conn, data []byte) error {
	stream, err := conn.OpenStream()
	if err != nil {
		return err
	}
	if _, err := stream.Write(data); err != nil {
		return err
	}
	return stream.Close()
}

func sendHello(conn *quic.Conn) error {
	stream, err := conn.OpenStream()
	if err != nil {
		return err
	}
	if err := writeHello(stream, Identity{ID: "a", Role: "entry", BootID: "1"}); err != nil {
		return err
	}
	var answer hello
	return readFrameInto(stream, maxHello, &answer)
}

func encodeCallHeader(kind string) []byte {
	data, err := encode(callHeader{Kind: kind, TimeoutMillis: 1000}, maxHeader)
	Expect(err).NotTo(HaveOccurred())
	return appendFrame(nil, data)
}
