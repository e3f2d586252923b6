package loopback

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Two runs at once must not meet, and a network that is given back can be had again.
func TestNetworksAreApart(t *testing.T) {
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
