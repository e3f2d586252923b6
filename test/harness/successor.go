package harness

import (
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
)

// StartReplacement starts a replacement for a process that has exited, as a
// rolling replacement does: on a new instance, with a new ID and its own
// certificate. The platform lists the old instance as gone. Entry and Control
// then return the replacement under the old index.
func (p *Process) StartReplacement() *Process {
	ginkgo.GinkgoHelper()
	c := p.cluster
	gomega.Expect(p.Alive()).To(gomega.BeFalse(), p.ID+" is still running")
	gomega.Expect(c.Standin.SetState(bg, p.Instance, platform.StateGone)).To(gomega.Succeed())
	replacement := c.newProcess(p.Role)
	replacement.Zone = p.Zone
	gomega.Expect(c.Standin.PutEntry(bg, replacement.Instance, replacement.Zone, replacement.IP+":0")).To(gomega.Succeed())
	c.issueCertificates(replacement)
	c.replaceProcess(p, replacement)
	replacement.Start()
	return replacement
}

// replaceProcess puts the replacement at the index of the old process, and
// keeps the old one so that its proxies get closed and its log printed.
func (c *Cluster) replaceProcess(old, next *Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range [][]*Process{c.entries, c.controls} {
		if i := slices.Index(list, old); i >= 0 {
			list[i] = next
		}
	}
	c.retired = append(c.retired, old)
}
