package peer

import (
	"cmp"
	"slices"
)

// PeerStatus describes one wanted peer in dumps.
type PeerStatus struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	// Linked reports an open connection to the peer, Incoming one from it.
	Linked   bool   `json:"linked"`
	Incoming bool   `json:"incoming"`
	BootID   string `json:"boot_id,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Failures counts the failed dials since the last successful one.
	Failures       int    `json:"failures,omitempty"`
	LastError      string `json:"last_error,omitempty"`
	PendingNotices int    `json:"pending_notices,omitempty"`
}

// Status lists the wanted peers, sorted by ID.
func (n *Node) Status() []PeerStatus {
	n.mu.Lock()
	remotes := make([]*remote, 0, len(n.remotes))
	incoming := make(map[string]bool, len(n.incoming))
	for id, r := range n.remotes {
		remotes = append(remotes, r)
		incoming[id] = n.incoming[id] != nil
	}
	n.mu.Unlock()
	list := make([]PeerStatus, 0, len(remotes))
	for _, r := range remotes {
		s := r.status()
		s.Incoming = incoming[r.id]
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b PeerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (r *remote) status() PeerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := PeerStatus{ID: r.id, Addr: r.addr.String(), Failures: r.failedDials, PendingNotices: r.outbox.len()}
	if r.lastDialErr != nil {
		s.LastError = r.lastDialErr.Error()
	}
	if r.link != nil && r.link.usable() {
		s.Linked, s.BootID, s.Zone = true, r.link.peer.BootID, r.link.peer.Zone
	}
	return s
}
