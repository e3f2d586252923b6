package harness

import (
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
)

// Successor starts a process in the place of one that has ended, as a rolling
// replacement does: on a new instance, under a new id and with a certificate
// of its own. The platform lists the old instance as gone. Entry and Control
// return the successor under the old number.
func (p *Process) Successor() *Process {
	ginkgo.GinkgoHelper()
	c := p.cluster
	gomega.Expect(p.Alive()).To(gomega.BeFalse(), p.ID+" still runs")
	gomega.Expect(c.Standin.SetState(bg, p.Instance, platform.StateGone)).To(gomega.Succeed())
	next := c.newProcess(p.Role)
	next.Zone = p.Zone
	gomega.Expect(c.Standin.PutEntry(bg, next.Instance, next.Zone, next.IP+":0")).To(gomega.Succeed())
	c.issueCertificates(next)
	c.succeed(p, next)
	next.Start()
	return next
}

func (c *Cluster) succeed(old, next *Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range [][]*Process{c.entries, c.controls} {
		if i := slices.Index(list, old); i >= 0 {
			list[i] = next
		}
	}
	c.retired = append(c.retired, old)
}
