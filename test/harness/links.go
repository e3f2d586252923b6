package harness

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	quicproxy "github.com/quic-go/quic-go/integrationtests/tools/proxy"
	"github.com/sirupsen/logrus"
)

func init() {
	// The TCP proxy logs every connection, which would bury the test output.
	logrus.SetOutput(io.Discard)
}

// Names of the faults set on the platform proxy.
const (
	toxicSlowResponses = "slow"
	toxicDelayCalls    = "hold"
	toxicHang          = "hang"
)

// startPlatformProxy starts the proxy for all calls of the process to the
// platform.
func (p *Process) startPlatformProxy() {
	ginkgo.GinkgoHelper()
	p.platformProxy = toxiproxy.NewProxy()
	p.platformProxy.Name = p.ID
	p.platformProxy.Listen = p.addr(portPlatform)
	p.platformProxy.Upstream = strings.TrimPrefix(p.cluster.PlatformURL, "http://")
	gomega.Expect(p.platformProxy.Start()).To(gomega.Succeed())
}

// CutLog disconnects the process from the platform: open connections are
// closed and new ones refused, until HealLog.
func (p *Process) CutLog() { p.platformProxy.Stop() }

// HealLog ends CutLog, HangLog, SlowLog and HoldCalls.
func (p *Process) HealLog() {
	ginkgo.GinkgoHelper()
	p.platformProxy.Toxics.ResetToxics()
	if !p.platformProxy.Enabled {
		gomega.Expect(p.platformProxy.Start()).To(gomega.Succeed())
	}
}

// HangLog keeps the process's connections to the platform open but transfers
// nothing, as when packets are dropped.
func (p *Process) HangLog() {
	ginkgo.GinkgoHelper()
	p.addToxic(toxicHang+"-up", "timeout", "upstream", `{"timeout": 0}`)
	p.addToxic(toxicHang+"-down", "timeout", "downstream", `{"timeout": 0}`)
}

// SlowLog delays every response of the platform.
func (p *Process) SlowLog(by time.Duration) {
	ginkgo.GinkgoHelper()
	p.addToxic(toxicSlowResponses, "latency", "downstream", fmt.Sprintf(`{"latency": %d}`, by.Milliseconds()))
}

// HoldCalls delays every request to the platform. A record that the process
// appends reaches the log after the delay, even if the process has been
// paused or killed in the meantime.
func (p *Process) HoldCalls(by time.Duration) {
	ginkgo.GinkgoHelper()
	p.addToxic(toxicDelayCalls, "latency", "upstream", fmt.Sprintf(`{"latency": %d}`, by.Milliseconds()))
}

func (p *Process) addToxic(name, kind, stream, attributes string) {
	ginkgo.GinkgoHelper()
	_, err := p.platformProxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name": %q, "type": %q, "stream": %q, "attributes": %s}`, name, kind, stream, attributes)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// peerNetwork decides which datagrams between processes are dropped.
type peerNetwork struct {
	mu  sync.Mutex
	cut map[string]bool // by IP address
}

func newPeerNetwork() *peerNetwork { return &peerNetwork{cut: map[string]bool{}} }

func (n *peerNetwork) setCut(ip string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[ip] = cut
}

// shouldDrop reports whether a datagram is dropped. Every process has its own
// IP address, so both ends are identified whichever of them dialled.
func (n *peerNetwork) shouldDrop(from, to net.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[ipOf(from)] || n.cut[ipOf(to)]
}

func ipOf(a net.Addr) string {
	if udp, ok := a.(*net.UDPAddr); ok {
		return udp.IP.String()
	}
	return ""
}

// startPeerProxy starts the UDP proxy through which peers reach this process.
func (p *Process) startPeerProxy() {
	ginkgo.GinkgoHelper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(p.IP), Port: portPeer})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	p.peerProxy = &quicproxy.Proxy{
		Conn: conn, ServerAddr: &net.UDPAddr{IP: net.ParseIP(p.IP).To4(), Port: portPeerBehindProxy},
		DropPacket: func(_ quicproxy.Direction, from, to net.Addr, _ []byte) bool {
			return p.cluster.peers.shouldDrop(from, to)
		},
	}
	gomega.Expect(p.peerProxy.Start()).To(gomega.Succeed())
}

// CutPeers drops every datagram between this process and its peers, in both
// directions. It needs Options.PeerProxies.
func (p *Process) CutPeers() {
	ginkgo.GinkgoHelper()
	gomega.Expect(p.peerProxy).NotTo(gomega.BeNil(), "the cluster has no peer proxies")
	p.cluster.peers.setCut(p.IP, true)
}

// HealPeers ends CutPeers.
func (p *Process) HealPeers() { p.cluster.peers.setCut(p.IP, false) }

func (p *Process) closeProxies() {
	p.platformProxy.Stop()
	if p.peerProxy != nil {
		_ = p.peerProxy.Close()
		_ = p.peerProxy.Conn.Close()
	}
}
