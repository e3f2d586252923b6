package harness

import (
	"fmt"
	"strings"

	"github.com/Shopify/toxiproxy"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
)

// portEndpoints is the first port of proxies in front of endpoints.
const portEndpoints = 9000

// Direction of the bytes through an EndpointLink.
type Direction string

// Directions.
const (
	ToEndpoint   Direction = "upstream"
	FromEndpoint Direction = "downstream"
)

// EndpointLink is a proxy between the entries and one worker's endpoint.
type EndpointLink struct{ proxy *toxiproxy.Proxy }

// LinkEndpoint puts a proxy in front of a worker's endpoint, and waits until
// the entries use it.
func (c *Cluster) LinkEndpoint(id string) *EndpointLink {
	ginkgo.GinkgoHelper()
	rows, err := c.Standin.Instances(bg)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	l := &EndpointLink{proxy: toxiproxy.NewProxy()}
	l.proxy.Name = id
	for i, row := range rows {
		if row.ID == id {
			l.proxy.Upstream = row.Addr
			l.proxy.Listen = fmt.Sprintf("%s1:%d", c.net.Prefix, portEndpoints+i)
		}
	}
	gomega.Expect(l.proxy.Start()).To(gomega.Succeed())
	ginkgo.DeferCleanup(l.proxy.Stop)
	gomega.Expect(c.Standin.Change(bg, id, standin.InstanceChange{Addr: l.proxy.Listen})).To(gomega.Succeed())
	for _, e := range c.Entries() {
		gomega.Eventually(func() bool { return e.routesTo(l.proxy.Listen) }, Patience, Poll).Should(gomega.BeTrue(), e.ID)
	}
	return l
}

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

// Refuse breaks the connections and has new ones refused, until Renew.
func (l *EndpointLink) Refuse() { l.proxy.Stop() }

// Renew breaks the connections, ends CutAfter and Refuse and takes new ones.
func (l *EndpointLink) Renew() {
	ginkgo.GinkgoHelper()
	l.proxy.Stop()
	l.proxy.Toxics.ResetToxics()
	gomega.Expect(l.proxy.Start()).To(gomega.Succeed())
}

// CutAfter breaks each connection, those that stand included, once so many
// bytes more have passed in a direction.
func (l *EndpointLink) CutAfter(d Direction, bytes int) {
	ginkgo.GinkgoHelper()
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name": "cut", "type": "limit_data", "stream": %q, "attributes": {"bytes": %d}}`, d, bytes)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}
