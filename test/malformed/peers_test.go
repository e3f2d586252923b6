package malformed_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"cyclamenwheel/internal/peer"
	"cyclamenwheel/test/harness"
)

const (
	// peerProtocol is the name of the peers' protocol in TLS.
	peerProtocol = "cyclamen-peer/1"
	// datagrams of noise, of up to datagramBytes.
	datagrams     = 3000
	datagramBytes = 1400
	// strangers is how many connections are made for each input.
	strangers = 10
	// endless is an announced length that nothing follows.
	endless = 0xffffffff
	// kindHeartbeat and kindState are kinds that a peer knows.
	kindHeartbeat = "node.heartbeat"
	kindState     = "node.state"
)

// frame is a length and as many bytes.
func frame(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

func lengthOnly(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// helloOf is how a peer says who it is.
func helloOf(id string) []byte {
	return frame(encode(map[int]any{1: peer.Identity{ID: id, Role: string(strangerRole), BootID: "boot", Zone: "north"}}))
}

// header is the one of a call or a notice: a kind and a number.
func header(kind string) []byte { return frame(encode(map[int]any{1: kind, 2: 1})) }

// nested is CBOR of arrays in arrays.
func nested(depth int) []byte {
	const arrayOfOne, null = 0x81, 0xf6
	out := make([]byte, depth+1)
	for i := range depth {
		out[i] = arrayOfOne
	}
	out[depth] = null
	return out
}

// dial connects as a peer does; the error is of the handshake.
func (t *target) dial(certificates ...tls.Certificate) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(GinkgoT().Context(), harness.Timeout)
	defer cancel()
	return quic.DialAddr(ctx, t.entry.PeerAddr(), &tls.Config{
		InsecureSkipVerify: true, // the test is not the one to be deceived
		NextProtos:         []string{peerProtocol}, Certificates: certificates,
	}, &quic.Config{HandshakeIdleTimeout: harness.Timeout})
}

// say opens a stream and sends bytes on it.
func say(conn *quic.Conn, data []byte, end bool) {
	stream, err := conn.OpenStreamSync(conn.Context())
	if err != nil {
		return // the entry has closed the connection
	}
	_, _ = stream.Write(data)
	if end {
		_ = stream.Close()
	}
}

// notify does so on a stream of notices.
func notify(conn *quic.Conn, data []byte) {
	stream, err := conn.OpenUniStreamSync(conn.Context())
	if err != nil {
		return
	}
	_, _ = stream.Write(data)
	_ = stream.Close()
}

// greet says hello and waits for the entry's own.
func greet(conn *quic.Conn) error {
	stream, err := conn.OpenStreamSync(conn.Context())
	if err != nil {
		return err
	}
	if _, err := stream.Write(helloOf(strangerID)); err != nil {
		return err
	}
	_, err = io.ReadFull(stream, make([]byte, len(lengthOnly(0))))
	return err
}

// linger gives the entry time to close the connections, and closes them.
func linger(conns []*quic.Conn) {
	over := time.After(readLimit)
	for _, conn := range conns {
		select {
		case <-conn.Context().Done():
		case <-over:
			over = time.After(0)
		}
		_ = conn.CloseWithError(0, "")
	}
}

// greetings are first streams of a peer that are no hello.
func greetings() map[string][]byte {
	return map[string][]byte{
		"noise":          noise(3, noiseBytes),
		"endless":        lengthOnly(endless),
		"cut":            lengthOnly(100),
		"empty":          frame(nil),
		"no CBOR":        frame(noise(4, 100)),
		"other shape":    frame(encode([]int{1, 2, 3})),
		"nested":         frame(nested(1000)),
		"another's name": helloOf("entry-2"),
		"no name":        helloOf(""),
	}
}

// messages are what a peer sends after a good hello, on a stream each.
func messages() map[string][]byte {
	return map[string][]byte{
		"noise":          noise(5, noiseBytes),
		"endless header": lengthOnly(endless),
		"cut header":     lengthOnly(100),
		"no CBOR":        frame(noise(6, 100)),
		"unknown kind":   append(header("no.such.kind"), frame(nil)...),
		"endless body":   append(header(kindState), lengthOnly(endless)...),
		"large body":     append(header(kindState), lengthOnly(peer.MaxTransfer)...),
		"cut body":       append(header(kindState), lengthOnly(1000)...),
		"body no CBOR":   append(header(kindState), frame(noise(7, 100))...),
		"body nested":    append(header(kindState), frame(nested(1000))...),
		"other shape":    append(header(kindHeartbeat), frame(encode("text"))...),
		"trailing":       append(append(header(kindState), frame(encode(map[int]int{1: 1}))...), noise(8, 100)...),
	}
}

var _ = Describe("An entry's peers' port", func() {
	BeforeEach(func() { t.begin() })

	// Datagrams that are no QUIC, or look like its first packets. They come from
	// anywhere: nothing vouches for a sender of datagrams.
	It("outlives noise", func() {
		conn, err := net.Dial("udp", t.entry.PeerAddr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		rng := rand.New(rand.NewPCG(9, 0))
		for n := range datagrams {
			data := noise(uint64(n), rng.IntN(datagramBytes))
			if len(data) > 5 && n%2 == 0 {
				copy(data, []byte{0xc3, 0, 0, 0, 1}) // an Initial packet of QUIC version 1
			}
			_, _ = conn.Write(data)
		}
		t.outlives()
	})

	// Strangers without a certificate, or with one of the same name from another
	// CA, get no answer to their hello: nothing that they say is heard.
	It("turns strangers away", func() {
		foreign := t.cluster.ForeignCertificate(strangerRole, strangerID)
		for range strangers {
			for _, certificates := range [][]tls.Certificate{nil, {foreign}} {
				conn, err := t.dial(certificates...)
				if err != nil {
					continue
				}
				// A client of TLS 1.3 is done before its certificate is looked at.
				Expect(greet(conn)).NotTo(Succeed())
				_ = conn.CloseWithError(0, "")
			}
		}
		t.outlives()
	})

	// A process of the deployment that is broken: its certificate is good, and
	// what it says is not. Its connection ends, or the message is refused; the
	// entry and its links to the other peers go on.
	It("outlives a broken peer", func() {
		good := t.cluster.Certificate(strangerRole, strangerID)
		for name, greeting := range greetings() {
			By("greeting: " + name)
			t.each(good, func(conn *quic.Conn) { say(conn, greeting, name == "cut") })
		}
		for name, message := range messages() {
			By("message: " + name)
			t.each(good, func(conn *quic.Conn) {
				say(conn, helloOf(strangerID), false)
				say(conn, message, true)
				notify(conn, message)
			})
		}
		t.outlives()
	})
})

// each makes some connections and does something on each.
func (t *target) each(certificate tls.Certificate, do func(*quic.Conn)) {
	GinkgoHelper()
	conns := make([]*quic.Conn, 0, strangers)
	for range strangers {
		conn, err := t.dial(certificate)
		Expect(err).NotTo(HaveOccurred())
		do(conn)
		conns = append(conns, conn)
	}
	linger(conns)
	t.answers()
}
