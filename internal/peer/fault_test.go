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

// network is a faulty path to one node.
type network struct {
	proxy  *quicproxy.Proxy
	frozen atomic.Bool
}

// The shares of packets that are lost, sent twice and held back, which brings
// them out of order.
const (
	lossShare  = 0.05
	twiceShare = 0.10
	lateShare  = 0.20
	lateBy     = 15 * time.Millisecond
)

func faultyPath(to *Node, faults bool) *network {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	Expect(err).NotTo(HaveOccurred())
	w := &network{}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	chance := func(share float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return faults && random.Float64() < share
	}
	w.proxy = &quicproxy.Proxy{
		Conn:       conn,
		ServerAddr: to.LocalAddr().(*net.UDPAddr),
		DropPacket: func(dir quicproxy.Direction, _, dst net.Addr, packet []byte) bool {
			if dir == quicproxy.DirectionOutgoing && chance(twiceShare) {
				_, _ = conn.WriteTo(packet, dst)
			}
			return w.frozen.Load() || chance(lossShare)
		},
		DelayPacket: func(quicproxy.Direction, net.Addr, net.Addr, []byte) time.Duration {
			if chance(lateShare) {
				return lateBy
			}
			return 0
		},
	}
	Expect(w.proxy.Start()).To(Succeed())
	DeferCleanup(func() { _ = w.proxy.Close(); _ = conn.Close() })
	return w
}

func (w *network) addr() string { return w.proxy.LocalAddr().String() }

var _ = Describe("a faulty network", func() {
	var ca *authority
	var a, b *Node
	BeforeEach(func() {
		checkLeaks()
		ca = newAuthority()
		a, b = start(ca.options("a", "1")), start(ca.options("b", "1"))
	})

	// Packets are lost, doubled and overtaken in both directions. Each call
	// still runs once and gets its own answer, and the newest notice arrives.
	It("runs each call once and gives it its own answer", func() {
		path := faultyPath(b, true)
		Expect(a.SetPeers(map[string]string{"b": path.addr()})).To(Succeed())
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
					Expect(Call[int, int](within(settle), a, "b", "double", v)).To(Equal(2 * v))
					Expect(Notify(a, "b", "v", v)).To(Succeed())
				}
			})
		}
		wg.Wait()
		Expect(ran.Load()).To(BeNumerically("==", callers*calls))
		Expect(Notify(a, "b", "v", 1<<40)).To(Succeed())
		Eventually(newest.Load).WithTimeout(settle).Should(BeNumerically("==", 1<<40))
	})

	// The peer freezes with the link up. Notices go on at once and hold one
	// message; a call that was sent ends as unknown and a later one as
	// certainly not sent. When the peer is back it hears the newest notice.
	It("isn't held up by a frozen peer", func() {
		path := faultyPath(b, false)
		Expect(a.SetPeers(map[string]string{"b": path.addr()})).To(Succeed())
		echo(b)
		var newest atomic.Int64
		HandleNotice(b, "v", func(_ Identity, v int64) { newest.Store(v) })
		Expect(say(within(settle), a, "b", "hi")).To(Equal("a/1:hi"))

		path.frozen.Store(true)
		_, err := say(within(settle), a, "b", "lost")
		Expect(err).To(BeAssignableToTypeOf(&OutcomeUnknownError{}))
		_, err = say(within(100*time.Millisecond), a, "b", "never sent")
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		const count = 20000
		for v := int64(1); v <= count; v++ {
			Expect(Notify(a, "b", "v", v)).To(Succeed())
		}
		Expect(a.Status()[0].PendingNotices).To(Equal(1))
		Expect(a.Status()[0].Linked).To(BeFalse())

		path.frozen.Store(false)
		Eventually(newest.Load).WithTimeout(settle).Should(BeNumerically("==", count))
	})
})

var _ = Describe("who is let in", func() {
	var ca *authority
	var b *Node
	BeforeEach(func() {
		checkLeaks()
		ca = newAuthority()
		b = start(ca.options("b", "1"))
		echo(b)
	})

	// tryFrom returns the error of a call from a node with these options, and
	// of one to it.
	tryFrom := func(opts Options) (calling, called error) {
		a := start(opts)
		join(a, b)
		_, calling = say(within(settle), a, "b", "hi")
		_, called = say(within(settle), b, "a", "hi")
		return calling, called
	}

	It("turns away a certificate of another authority", func() {
		opts := newAuthority().options("a", "1")
		opts.TLS.RootCAs = ca.pool // it trusts us, we don't trust it
		calling, called := tryFrom(opts)
		Expect(calling).To(BeAssignableToTypeOf(&UnreachableError{}))
		var cert *CertificateError
		Expect(errors.As(called, &cert)).To(BeTrue(), "%v", called)
	})

	It("turns away a certificate of another deployment or without a proper name", func() {
		for _, uri := range []string{"mainland", ""} {
			opts := ca.options("a", "1")
			opts.TLS = ca.tls(CertificateURI(uri, "entry", "a"))
			calling, called := tryFrom(opts)
			Expect(calling).To(BeAssignableToTypeOf(&UnreachableError{}))
			Expect(called).To(MatchError(ContainSubstring("not of this deployment")))
		}
	})

	It("turns away a hello under another id, and a wrong process at an address", func() {
		opts := ca.options("a", "1")
		opts.Self.ID = "c"
		calling, _ := tryFrom(opts)
		Expect(calling).To(MatchError(ContainSubstring("peer should be entry/a and is entry/c")))
		a := start(ca.options("a", "1"))
		Expect(a.SetPeers(map[string]string{"x": b.LocalAddr().String()})).To(Succeed())
		_, err := say(within(settle), a, "x", "hi")
		var wrong *IdentityError
		Expect(errors.As(err, &wrong)).To(BeTrue())
	})

	It("refuses options that would trust everybody", func() {
		opts := ca.options("a", "1")
		opts.TLS = &tls.Config{}
		_, err := NewNode(opts)
		Expect(err).To(BeAssignableToTypeOf(&OptionsError{}))
	})

	// A peer with a good certificate sends bytes that break the protocol. Its
	// connection is closed as malformed, and the node serves others on.
	DescribeTable("closes a connection that breaks the protocol",
		func(send func(conn *quic.Conn) error) {
			opts := ca.options("a", "1")
			conn, err := quic.DialAddr(within(settle), b.LocalAddr().String(), clientTLS(opts.TLS, deployment), dialConfig())
			Expect(err).NotTo(HaveOccurred())
			Expect(send(conn)).To(Succeed())
			Eventually(conn.Context().Done()).WithTimeout(settle).Should(BeClosed())
			Expect(context.Cause(conn.Context())).To(And(HaveField("Remote", true), HaveField("ErrorCode", codeMalformed)))
			a := start(ca.options("c", "1"))
			join(a, b)
			Expect(say(within(settle), a, "b", "hi")).To(Equal("c/1:hi"))
		},
		Entry("no hello", func(conn *quic.Conn) error { return sendRaw(conn, []byte("GET / HTTP/1.1\r\n")) }),
		Entry("an oversized header", func(conn *quic.Conn) error {
			return errors.CombineErrors(sendHello(conn), sendRaw(conn, []byte{0xff, 0xff, 0xff, 0xff}))
		}),
		Entry("an oversized body", func(conn *quic.Conn) error {
			return errors.CombineErrors(sendHello(conn), sendRaw(conn, append(header("echo"), 0, 0xff, 0, 0)))
		}),
		Entry("a body that isn't CBOR", func(conn *quic.Conn) error {
			return errors.CombineErrors(sendHello(conn), sendRaw(conn, appendFrame(header("echo"), []byte{0x9f, 0x01})))
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
	return readInto(stream, maxHello, &answer)
}

func header(kind string) []byte {
	data, err := encode(callHeader{Kind: kind, TimeoutMillis: 1000}, maxHeader)
	Expect(err).NotTo(HaveOccurred())
	return appendFrame(nil, data)
}
