package harness

import (
	"github.com/onsi/ginkgo/v2"

	"cyclamenwheel/internal/standin/loopback"
)

// Ports on the loopback address of each process.
const (
	portCallers         = 8100
	portPeer            = 8200 // dialled by peers
	portPeerBehindProxy = 8201 // listened on by the process if a peer proxy has portPeer
	portOperator        = 8300
	portPlatform        = 8500 // the proxy to the platform
)

// controlHostOffset separates the addresses of control processes from those
// of entries.
const controlHostOffset = 100

func claimNetwork() *loopback.Network {
	n, err := loopback.Claim()
	if err != nil {
		ginkgo.Fail(err.Error())
	}
	return n
}

// addressOf returns the IP address of process i of a role.
func addressOf(n *loopback.Network, role Role, i int) string {
	host := i + 2
	if role == RoleControl {
		host += controlHostOffset
	}
	return n.IP(host)
}
