package malformed_test

import (
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
)

const (
	// silent is how many connections are opened to each port and left alone.
	silent = 100
	// greedy callers ask for answers and read none: more than what fits the
	// sockets' buffers.
	greedy       = 10
	greedyAsks   = 200
	greedyAnswer = 200 << 10
	// abandoned is how many streams a peer opens and leaves.
	abandoned = 40
)

// openSilent opens connections and sends nothing more, or half a request.
func openSilent(addr string) {
	GinkgoHelper()
	for i := range silent {
		conn, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		if i%2 == 0 {
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: e"))
			Expect(err).NotTo(HaveOccurred())
		}
	}
}

// askAndReadNothing sends one request after another without reading.
func askAndReadNothing(addr string) {
	GinkgoHelper()
	ask := strings.Repeat("GET /"+poolTabs+"/item/1 HTTP/1.1\r\nHost: e\r\n\r\n", greedyAsks)
	for range greedy {
		conn, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = conn.Write([]byte(ask))
		Expect(err).NotTo(HaveOccurred())
	}
}

// linkPeer connects as a process of the deployment. The entry keeps one link
// for each peer, the newest. The peer opens streams and leaves them.
func (t *target) linkPeer(streams int) {
	GinkgoHelper()
	conn, err := t.dial(t.cluster.Certificate(strangerRole, strangerID))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.CloseWithError(0, "") })
	Expect(greet(conn)).To(Succeed())
	for range streams {
		say(conn, lengthOnly(1), false)
	}
}

// silentPeer connects and does not even say hello.
func (t *target) silentPeer() {
	GinkgoHelper()
	conn, err := t.dial(t.cluster.Certificate(strangerRole, strangerID))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.CloseWithError(0, "") })
}

var _ = Describe("An entry", func() {
	// Connections are opened to every port and nothing more is sent, or half a
	// request. Callers ask for large answers and read none: once the sockets
	// are full, the entry cannot write. Peers open streams and leave them. No
	// far end ever closes anything; the entry must, or each of them costs it
	// memory for ever, and a planned stop waits for them.
	It("keeps nothing for those who are silent", func() {
		t.linkPeer(0)
		t.begin()
		openSilent(t.callers())
		openSilent(t.operators())
		for range strangers {
			t.silentPeer()
			t.linkPeer(abandoned)
		}
		t.setFault(standin.EndpointFault{AnswerBytes: greedyAnswer})
		askAndReadNothing(t.callers())
		t.outlives()
	})
})
