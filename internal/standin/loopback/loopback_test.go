package loopback

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against concurrent runs that share a network, and against networks that stay reserved
// after their release.
func TestConcurrentClaimsGetDifferentNetworks(t *testing.T) {
	g := NewWithT(t)
	a, err := Claim()
	g.Expect(err).NotTo(HaveOccurred())
	b, err := Claim()
	g.Expect(err).NotTo(HaveOccurred())
	defer b.Release()
	g.Expect(a.Prefix).NotTo(Equal(b.Prefix))
	l, err := net.Listen("tcp", a.IP(2)+":8100")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	a.Release()
	again, err := Claim()
	g.Expect(err).NotTo(HaveOccurred())
	defer again.Release()
	g.Expect(again.Prefix).To(Equal(a.Prefix))
}
