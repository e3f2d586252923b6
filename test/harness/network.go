package harness

import (
	"fmt"
	"net"
	"os"

	"github.com/onsi/ginkgo/v2"
)

// Ports on a process's own loopback address.
const (
	portCallers  = 8100
	portPeer     = 8200 // what peers dial
	portPeerOwn  = 8201 // what the process listens on behind a proxy
	portOperator = 8300
	portPlatform = 8500 // the proxy that leads to the platform
	portLock     = 8900
)

// network is a /24 of the loopback network that this cluster has to itself.
// Every process gets an address of its own with fixed ports: it finds them
// free again after a restart, and nobody's outgoing connection takes them.
type network struct {
	prefix string
	lock   net.Listener
}

// Bounds of the search for a free network: 127.16.0.0 to 127.239.255.0.
const (
	firstOctet  = 16
	octets      = 224
	networks    = octets * 256
	controlBase = 100
)

// claimNetwork holds a listener inside the network for as long as it is used,
// which keeps concurrent test runs apart.
func claimNetwork() *network {
	start := os.Getpid() * 7
	for i := range networks {
		n := (start + i) % networks
		prefix := fmt.Sprintf("127.%d.%d.", firstOctet+n/256, n%256)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, portLock))
		if err == nil {
			return &network{prefix: prefix, lock: lock}
		}
	}
	ginkgo.Fail("no loopback network is free")
	return nil
}

func (n *network) ip(role Role, i int) string {
	host := i + 2
	if role == RoleControl {
		host += controlBase
	}
	return fmt.Sprintf("%s%d", n.prefix, host)
}

func (n *network) release() { _ = n.lock.Close() }
