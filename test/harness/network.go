package harness

import (
	"github.com/onsi/ginkgo/v2"

	"cyclamenwheel/internal/standin/loopback"
)

// Ports on a process's own loopback address.
const (
	portCallers  = 8100
	portPeer     = 8200 // what peers dial
	portPeerOwn  = 8201 // what the process listens on behind a proxy
	portOperator = 8300
	portPlatform = 8500 // the proxy that leads to the platform
)

// controlBase keeps the addresses of control processes apart from those of entries.
const controlBase = 100

func claimNetwork() *loopback.Network {
	n, err := loopback.Claim()
	if err != nil {
		ginkgo.Fail(err.Error())
	}
	return n
}

// addressOf is the address of a process on a network.
func addressOf(n *loopback.Network, role Role, i int) string {
	host := i + 2
	if role == RoleControl {
		host += controlBase
	}
	return n.IP(host)
}
