package standin

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// portReservation keeps a loopback port bound without listening on it. While an
// instance is down, its port refuses connections, as on a real machine, and no
// other process can take it; without the reservation the port could be taken
// during a reboot. SO_REUSEADDR on both sockets lets the listener of the next
// boot bind to the same port.
type portReservation struct {
	fd   int
	addr string
}

// reservePort binds addr, an IPv4 address with a port; port 0 picks a free one.
func reservePort(addr string) (*portReservation, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "socket")
	}
	port, err := bindReusable(fd, tcp)
	if err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return &portReservation{fd: fd, addr: net.JoinHostPort(tcp.IP.String(), strconv.Itoa(port))}, nil
}

func bindReusable(fd int, addr *net.TCPAddr) (int, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, errors.Wrap(err, "SO_REUSEADDR")
	}
	sa := &unix.SockaddrInet4{Port: addr.Port}
	copy(sa.Addr[:], addr.IP.To4())
	if err := unix.Bind(fd, sa); err != nil {
		return 0, errors.Wrap(err, "bind")
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return 0, errors.Wrap(err, "getsockname")
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return 0, &ListenError{Addr: addr.String(), Cause: unix.EAFNOSUPPORT}
	}
	return bound.Port, nil
}

func (p *portReservation) release() { _ = unix.Close(p.fd) }
