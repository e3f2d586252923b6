package harness

import (
	"fmt"
	"strings"

	"github.com/Shopify/toxiproxy"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
)

// firstEndpointPort is the port of the first proxy in front of an endpoint;
// the others follow in the order of the instance list.
const firstEndpointPort = 9000

// Direction is a direction of the bytes through an EndpointLink.
type Direction string

// The directions of an EndpointLink.
const (
	ToEndpoint   Direction = "upstream"
	FromEndpoint Direction = "downstream"
)

// EndpointLink is a TCP proxy between the entries and the endpoint of one
// worker.
type EndpointLink struct{ proxy *toxiproxy.Proxy }

// LinkEndpoint puts a proxy in front of a worker's endpoint and waits until
// all entries route through it.
func (c *Cluster) LinkEndpoint(id string) *EndpointLink {
	ginkgo.GinkgoHelper()
	rows, err := c.Standin.Instances(bg)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	l := &EndpointLink{proxy: toxiproxy.NewProxy()}
	l.proxy.Name = id
	for i, row := range rows {
		if row.ID == id {
			l.proxy.Upstream = row.Addr
			l.proxy.Listen = fmt.Sprintf("%s1:%d", c.net.Prefix, firstEndpointPort+i)
		}
	}
	gomega.Expect(l.proxy.Start()).To(gomega.Succeed())
	ginkgo.DeferCleanup(l.proxy.Stop)
	gomega.Expect(c.Standin.Change(bg, id, standin.InstanceChange{Addr: l.proxy.Listen})).To(gomega.Succeed())
	for _, e := range c.Entries() {
		gomega.Eventually(func() bool { return e.routesTo(l.proxy.Listen) }, Timeout, PollInterval).Should(gomega.BeTrue(), e.ID)
	}
	return l
}

// routesTo reports whether the routes of the entry contain the address.
func (p *Process) routesTo(addr string) bool {
	view, err := p.EntryView()
	if err != nil {
		return false
	}
	for _, endpoints := range view.Pools {
		for _, e := range endpoints {
			if e.Addr == addr {
				return true
			}
		}
	}
	return false
}

// Refuse closes the connections and refuses new ones until Renew.
func (l *EndpointLink) Refuse() { l.proxy.Stop() }

// Renew closes the connections, ends CutAfter and Refuse, and accepts new
// connections.
func (l *EndpointLink) Renew() {
	ginkgo.GinkgoHelper()
	l.proxy.Stop()
	l.proxy.Toxics.ResetToxics()
	gomega.Expect(l.proxy.Start()).To(gomega.Succeed())
}

// CutAfter closes each connection, including open ones, after the given
// number of further bytes in one direction.
func (l *EndpointLink) CutAfter(d Direction, bytes int) {
	ginkgo.GinkgoHelper()
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name": "cut", "type": "limit_data", "stream": %q, "attributes": {"bytes": %d}}`, d, bytes)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}
