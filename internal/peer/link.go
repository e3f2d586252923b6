package peer

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// link is one connection on which both ends have said who they are.
type link struct {
	conn *quic.Conn
	peer Identity

	mu       sync.Mutex
	calls    int
	draining bool
}

// begin counts a call on the link unless it is draining or dead.
func (l *link) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || l.conn.Context().Err() != nil {
		return false
	}
	l.calls++
	return true
}

// end closes the link when it is draining and this was its last call.
func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.closeIfDrained()
}

// drain takes no more calls and closes the link after the last one.
func (l *link) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.closeIfDrained()
}

func (l *link) closeIfDrained() {
	if l.draining && l.calls == 0 {
		l.close(codeClosing, "drained")
	}
}

func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.draining && l.conn.Context().Err() == nil
}

func (l *link) close(code quic.ApplicationErrorCode, detail string) {
	_ = l.conn.CloseWithError(code, clip(detail)) // closing twice is harmless
}

// goAway tells the dialling end that this one is shutting down: it lets its
// calls end and closes the connection. The message is the stream itself.
func (l *link) goAway() {
	stream, err := l.conn.OpenUniStream()
	if err != nil {
		return // the connection is closed already
	}
	_ = stream.Close()
}

// hello is the first message in each direction of a connection.
type hello struct {
	Self Identity `cbor:"1,keyasint"`
}

// checkHello returns the identity of the other end: its hello must agree with
// its certificate, and its boot must not be an older one.
func (n *Node) checkHello(conn *quic.Conn, h hello) (Identity, error) {
	certified, err := peerIdentity(n.opts.Deployment, conn.ConnectionState().TLS)
	if err != nil {
		return Identity{}, err
	}
	if h.Self.ID != certified.ID || h.Self.Role != certified.Role {
		return Identity{}, &IdentityError{
			Want: certified.Role + "/" + certified.ID, Got: clip(h.Self.Role + "/" + h.Self.ID),
		}
	}
	if h.Self.BootID == "" {
		return Identity{}, &IdentityError{Want: "a boot id", Got: "none"}
	}
	return h.Self, n.admitBoot(h.Self)
}

// admitBoot closes the links of the boot that a newer one replaces.
func (n *Node) admitBoot(peer Identity) error {
	n.mu.Lock()
	replaced, err := n.boots.admit(peer.ID, peer.BootID, time.Now())
	r, l := n.remotes[peer.ID], n.incoming[peer.ID]
	n.mu.Unlock()
	if err != nil || !replaced {
		return err
	}
	n.log.Info("newer boot of a peer", "peer", peer.ID, "boot", peer.BootID)
	if l != nil && l.peer.BootID != peer.BootID {
		l.close(codeSuperseded, "a newer boot is linked")
	}
	if r != nil {
		r.dropOlder(peer.BootID)
	}
	return nil
}

func (n *Node) isCurrent(peer Identity) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boots.isCurrent(peer.ID, peer.BootID)
}

// watch keeps the count of links to a boot while the link lives.
func (n *Node) watch(l *link) {
	n.mu.Lock()
	n.boots.attach(l.peer.ID, l.peer.BootID)
	n.mu.Unlock()
	<-l.conn.Context().Done()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.boots.detach(l.peer.ID, l.peer.BootID, time.Now())
	if n.incoming[l.peer.ID] == l {
		delete(n.incoming, l.peer.ID)
	}
}
