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
	// The TCP proxy reports every connection; the tests' own words matter more.
	logrus.SetOutput(io.Discard)
}

// Names of the faults set on a link to the platform.
const (
	toxicSlow = "slow"
	toxicHold = "hold"
	toxicHang = "hang"
)

// openPlatformLink starts the proxy that all of the process's calls to the
// platform go through.
func (p *Process) openPlatformLink() {
	ginkgo.GinkgoHelper()
	p.toPlat = toxiproxy.NewProxy()
	p.toPlat.Name = p.ID
	p.toPlat.Listen = p.addr(portPlatform)
	p.toPlat.Upstream = strings.TrimPrefix(p.cluster.PlatformURL, "http://")
	gomega.Expect(p.toPlat.Start()).To(gomega.Succeed())
}

// CutLog cuts the process off from the platform: connections break, new ones
// are refused. HealLog ends it.
func (p *Process) CutLog() { p.toPlat.Stop() }

// HealLog ends CutLog, HangLog, SlowLog and HoldCalls.
func (p *Process) HealLog() {
	ginkgo.GinkgoHelper()
	p.toPlat.Toxics.ResetToxics()
	if !p.toPlat.Enabled {
		gomega.Expect(p.toPlat.Start()).To(gomega.Succeed())
	}
}

// HangLog lets the process's connections to the platform stand open while
// nothing passes, as where packets are dropped.
func (p *Process) HangLog() {
	ginkgo.GinkgoHelper()
	p.addToxic(toxicHang+"-up", "timeout", "upstream", `{"timeout": 0}`)
	p.addToxic(toxicHang+"-down", "timeout", "downstream", `{"timeout": 0}`)
}

// SlowLog delays every answer of the platform.
func (p *Process) SlowLog(by time.Duration) {
	ginkgo.GinkgoHelper()
	p.addToxic(toxicSlow, "latency", "downstream", fmt.Sprintf(`{"latency": %d}`, by.Milliseconds()))
}

// HoldCalls delays every call to the platform on its way there: a record that
// the process appends reaches the log that much later, whatever has become of
// the process meanwhile.
func (p *Process) HoldCalls(by time.Duration) {
	ginkgo.GinkgoHelper()
	p.addToxic(toxicHold, "latency", "upstream", fmt.Sprintf(`{"latency": %d}`, by.Milliseconds()))
}

func (p *Process) addToxic(name, kind, stream, attributes string) {
	ginkgo.GinkgoHelper()
	_, err := p.toPlat.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name": %q, "type": %q, "stream": %q, "attributes": %s}`, name, kind, stream, attributes)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// peerNetwork decides which datagrams between processes pass.
type peerNetwork struct {
	mu  sync.Mutex
	cut map[string]bool // by IP number
}

func newPeerNetwork() *peerNetwork { return &peerNetwork{cut: map[string]bool{}} }

func (n *peerNetwork) set(ip string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[ip] = cut
}

// drops tells whether a datagram is lost. Every process has an address of its
// own, so that both ends are known whichever of them dialled.
func (n *peerNetwork) drops(from, to net.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[hostOf(from)] || n.cut[hostOf(to)]
}

func hostOf(a net.Addr) string {
	if udp, ok := a.(*net.UDPAddr); ok {
		return udp.IP.String()
	}
	return ""
}

// openPeerLink starts the proxy that peers reach this process through.
func (p *Process) openPeerLink() {
	ginkgo.GinkgoHelper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(p.IP), Port: portPeer})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	p.peerProxy = &quicproxy.Proxy{
		Conn: conn, ServerAddr: &net.UDPAddr{IP: net.ParseIP(p.IP).To4(), Port: portPeerOwn},
		DropPacket: func(_ quicproxy.Direction, from, to net.Addr, _ []byte) bool {
			return p.cluster.peers.drops(from, to)
		},
	}
	gomega.Expect(p.peerProxy.Start()).To(gomega.Succeed())
}

// CutPeers loses every datagram between this process and its peers, both ways.
// It needs Options.PeerProxies.
func (p *Process) CutPeers() {
	ginkgo.GinkgoHelper()
	gomega.Expect(p.peerProxy).NotTo(gomega.BeNil(), "the cluster has no peer proxies")
	p.cluster.peers.set(p.IP, true)
}

// HealPeers ends CutPeers.
func (p *Process) HealPeers() { p.cluster.peers.set(p.IP, false) }

func (p *Process) closeLinks() {
	p.toPlat.Stop()
	if p.peerProxy != nil {
		_ = p.peerProxy.Close()
		_ = p.peerProxy.Conn.Close()
	}
}
