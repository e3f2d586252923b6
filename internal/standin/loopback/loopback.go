// Package loopback reserves a /24 network of loopback addresses for one test run, so that
// concurrent runs on a machine use different addresses. It takes no input; the search for a free
// network starts at one derived from the process id. Package trial and the test harness call it.
package loopback

import (
	"fmt"
	"net"
	"os"
)

// Network is a /24 of the loopback network that is reserved for one test run. Its processes use
// addresses of their own with fixed ports: these are free again after a restart, and outgoing
// connections, which come from 127.0.0.1, cannot occupy them.
type Network struct {
	// Prefix is the first three octets of the network with the trailing dot.
	Prefix string
	lock   net.Listener
}

// Bounds of the search for a free network: 127.16.0.0 to 127.239.255.0.
const (
	firstOctet = 16
	octets     = 224
	networks   = octets * 256
	// lockPort is the port of the listener that reserves the network.
	lockPort = 8900
	// pidStride makes processes with adjacent ids start their search at different networks.
	pidStride = 7
)

// NoneFreeError reports that every network is in use.
type NoneFreeError struct{}

func (NoneFreeError) Error() string { return "no loopback network is free" }

// Claim reserves a free network. It holds a listener inside the network until Release, so that
// concurrent test runs cannot claim it.
func Claim() (*Network, error) {
	start := os.Getpid() * pidStride
	for i := range networks {
		n := (start + i) % networks
		prefix := fmt.Sprintf("127.%d.%d.", firstOctet+n/256, n%256)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, lockPort))
		if err == nil {
			return &Network{Prefix: prefix, lock: lock}, nil
		}
	}
	return nil, NoneFreeError{}
}

// IP returns the address of a host, 1 to 254, in the network.
func (n *Network) IP(host int) string { return fmt.Sprintf("%s%d", n.Prefix, host) }

// Release frees the network.
func (n *Network) Release() { _ = n.lock.Close() } // the listener may be closed already
