package peer

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// link is a connection whose both ends have exchanged hellos.
type link struct {
	conn *quic.Conn
	peer Identity

	mu            sync.Mutex
	callsInFlight int
	draining      bool
}

// beginCall counts a call on the link. It returns false if the link is draining
// or closed.
func (l *link) beginCall() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || l.conn.Context().Err() != nil {
		return false
	}
	l.callsInFlight++
	return true
}

// endCall ends a call and closes a draining link after its last call.
func (l *link) endCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callsInFlight--
	l.closeIfDrained()
}

// drain rejects new calls and closes the link after the last one in flight.
func (l *link) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.closeIfDrained()
}

func (l *link) closeIfDrained() {
	if l.draining && l.callsInFlight == 0 {
		l.close(codeClosing, "drained")
	}
}

func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.draining && l.conn.Context().Err() == nil
}

func (l *link) close(code quic.ApplicationErrorCode, detail string) {
	_ = l.conn.CloseWithError(code, truncateDetail(detail)) // closing twice has no effect
}

// sendGoAway announces a shutdown to the dialling end, which then finishes its
// calls and closes the connection. Opening the stream is the message; it
// carries no data.
func (l *link) sendGoAway() {
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

// checkHello returns the identity of the other end. Its hello must agree with
// its certificate, and its boot must not be stale.
func (n *Node) checkHello(conn *quic.Conn, h hello) (Identity, error) {
	certified, err := peerIdentity(n.opts.Deployment, conn.ConnectionState().TLS)
	if err != nil {
		return Identity{}, err
	}
	if h.Self.ID != certified.ID || h.Self.Role != certified.Role {
		return Identity{}, &IdentityError{
			Want: certified.Role + "/" + certified.ID, Got: truncateDetail(h.Self.Role + "/" + h.Self.ID),
		}
	}
	if h.Self.BootID == "" {
		return Identity{}, &IdentityError{Want: "a boot id", Got: "none"}
	}
	return h.Self, n.admitBoot(h.Self)
}

// admitBoot admits the peer's boot and closes the links of a boot that it
// replaces.
func (n *Node) admitBoot(peer Identity) error {
	n.mu.Lock()
	replaced, err := n.boots.admit(peer.ID, peer.BootID, time.Now())
	r, l := n.remotes[peer.ID], n.incoming[peer.ID]
	n.mu.Unlock()
	if err != nil || !replaced {
		return err
	}
	n.log.Info("newer boot of a peer replaces the previous one", "peer", peer.ID, "boot", peer.BootID)
	if l != nil && l.peer.BootID != peer.BootID {
		l.close(codeSuperseded, "a newer boot is linked")
	}
	if r != nil {
		r.closeOtherBoot(peer.BootID)
	}
	return nil
}

func (n *Node) isCurrent(peer Identity) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boots.isCurrent(peer.ID, peer.BootID)
}

// countUntilClosed counts the link as one of its boot's links until the link
// closes, and then removes it from the incoming links.
func (n *Node) countUntilClosed(l *link) {
	n.mu.Lock()
	n.boots.addLink(l.peer.ID, l.peer.BootID)
	n.mu.Unlock()
	<-l.conn.Context().Done()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.boots.removeLink(l.peer.ID, l.peer.BootID, time.Now())
	if n.incoming[l.peer.ID] == l {
		delete(n.incoming, l.peer.ID)
	}
}
