// Package loopback gives test runs addresses on this machine that nobody else uses.
package loopback

import (
	"fmt"
	"net"
	"os"
)

// Network is a /24 of the loopback network that one test run has to itself. Its
// processes get addresses of their own with fixed ports: they find them free again
// after a restart, and nobody's outgoing connection, which comes from 127.0.0.1,
// takes them.
type Network struct {
	// Prefix is the network's address with its last dot.
	Prefix string
	lock   net.Listener
}

// Bounds of the search for a free network: 127.16.0.0 to 127.239.255.0.
const (
	firstOctet = 16
	octets     = 224
	networks   = octets * 256
	// portLock is held for as long as the network is used.
	portLock = 8900
	// spread keeps processes with neighbouring numbers from the same networks.
	spread = 7
)

// NoneFreeError says that every network is in use.
type NoneFreeError struct{}

func (NoneFreeError) Error() string { return "no loopback network is free" }

// Claim takes a free network. It holds a listener inside the network until Release,
// which keeps concurrent test runs apart.
func Claim() (*Network, error) {
	start := os.Getpid() * spread
	for i := range networks {
		n := (start + i) % networks
		prefix := fmt.Sprintf("127.%d.%d.", firstOctet+n/256, n%256)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, portLock))
		if err == nil {
			return &Network{Prefix: prefix, lock: lock}, nil
		}
	}
	return nil, NoneFreeError{}
}

// IP is the address of a host of the network, 1 to 254.
func (n *Network) IP(host int) string { return fmt.Sprintf("%s%d", n.Prefix, host) }

// Release gives the network back.
func (n *Network) Release() { _ = n.lock.Close() } // a listener that is closed already is as good
