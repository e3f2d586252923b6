package node

import (
	"context"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/platform"
)

const (
	// maxFetchBytes bounds the records in one response to a peer.
	maxFetchBytes = 512 << 10
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second
)

// maxTransferSize lets records and states exceed the size limit of ordinary messages.
var maxTransferSize = peer.MaxBytes(peer.MaxTransfer)

// registerPeerHandlers registers the handlers for peer messages. Handlers run outside the
// control goroutine and access its state through it.
func (n *Node) registerPeerHandlers() {
	peer.HandleNotice(n.opts.Peers, kindHeartbeat, func(from peer.Identity, hb Heartbeat) {
		n.post(func() { n.onHeartbeat(from, hb) })
	})
	peer.Handle(n.opts.Peers, kindRecords,
		func(_ context.Context, _ peer.Identity, req RecordsRequest) (RecordsAnswer, error) {
			var ans RecordsAnswer
			ok := n.Do(func() {
				ans.Records = n.ring.from(req.From, maxFetchBytes)
				ans.Gone = len(ans.Records) == 0 && !n.replica.Bootstrapping() && n.State().Offset >= req.From
			})
			if !ok {
				return ans, &StoppedError{}
			}
			return ans, nil
		}, maxTransferSize)
	peer.Handle(n.opts.Peers, kindState,
		func(_ context.Context, _ peer.Identity, req StateRequest) (ans StateAnswer, err error) {
			ok := n.Do(func() {
				if !n.replica.Bootstrapping() && n.State().Offset > req.Above {
					ans.Encoded, err = n.State().Encode()
				}
			})
			if !ok {
				return ans, &StoppedError{}
			}
			return ans, err
		}, maxTransferSize)
}

// setPeers sets the peers to dial: the members in the folded state, and the seeds from the
// settings, whose addresses the members' entries override.
func (n *Node) setPeers() {
	peerAddrs := make(map[string]string, len(n.opts.Seeds))
	for id, addr := range n.opts.Seeds {
		peerAddrs[id] = addr
	}
	for id, m := range n.State().Members.Members {
		peerAddrs[id] = m.PeerAddr
	}
	delete(peerAddrs, n.opts.Self.ID)
	if equalMaps(peerAddrs, n.peerAddrs) {
		return
	}
	n.peerAddrs = peerAddrs
	if err := n.opts.Peers.SetPeers(peerAddrs); err != nil {
		n.log.Warn("cannot set peers", "error", err.Error())
	}
}

func equalMaps(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || w != v {
			return false
		}
	}
	return true
}

func (n *Node) sendHeartbeatsIfDue() {
	now := n.Now()
	since := now - n.lastHeartbeat
	if since < n.opts.Heartbeat && (!n.heartbeatRequested || since < minHeartbeatGap) {
		return
	}
	n.lastHeartbeat, n.heartbeatRequested = now, false
	notLive := n.workersNotLive()
	for id := range n.peerAddrs {
		hb := Heartbeat{
			Acked: n.ackedOffset, Generation: n.State().Manifest.Generation,
			ListVersion: n.list.Version, NotLive: notLive,
		}
		n.hooks.Beat(id, &hb)
		_ = peer.Notify(n.opts.Peers, id, kindHeartbeat, hb) // cumulative, so a lost one is not resent
	}
}

// RequestHeartbeat requests a heartbeat soon, without waiting for the next regular one; loop-only.
func (n *Node) RequestHeartbeat() { n.heartbeatRequested = true }

func (n *Node) onHeartbeat(from peer.Identity, hb Heartbeat) {
	now := n.Now()
	h, ok := n.peerReports[from.ID]
	if !ok || h.Identity.BootID != from.BootID {
		h = &PeerReport{}
		n.peerReports[from.ID] = h
	}
	h.Identity, h.Heartbeat, h.At = from, hb, now
	if hb.Acked <= n.State().Offset {
		h.aheadSince = 0
	} else if h.aheadSince == 0 {
		h.aheadSince = now
	}
	if hb.ListVersion > max(n.list.Version, n.notLiveVersion) {
		n.applyNotLive(hb)
	}
	n.hooks.Heard(from, hb)
}

// PeerReports returns the last report of each peer, by id; loop-only.
func (n *Node) PeerReports() map[string]*PeerReport { return n.peerReports }

// fetchIfBehind fetches records from a peer that has been ahead for longer than the log
// takes to deliver them: a process that reads the log slowly, or is cut off from it, must
// not delay a roll-out.
func (n *Node) fetchIfBehind() {
	if n.fetching {
		return
	}
	now := n.Now()
	if n.replica.Bootstrapping() {
		if now-n.started > coldFetchAfter {
			n.fetch(n.anyPeer(), true)
		}
		return
	}
	for id, h := range n.peerReports {
		if h.aheadSince != 0 && now-h.aheadSince > fetchAfter {
			n.fetch(id, false)
			return
		}
	}
}

// anyPeer picks a peer to ask for its state. Map order is random, so a process whose
// request one peer refuses asks another one next.
func (n *Node) anyPeer() string {
	for id := range n.peerAddrs {
		return id
	}
	return ""
}

func (n *Node) fetch(id string, cold bool) {
	if id == "" {
		return
	}
	n.fetching = true
	next := n.replica.Next()
	above := n.State().Offset
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, fetchTimeout)
		defer cancel()
		ans := RecordsAnswer{Gone: cold}
		if !cold {
			// On an error, do not fetch the state: skipping records would cost the entry
			// what it learns from them one by one.
			ans, _ = peer.Call[RecordsRequest, RecordsAnswer](ctx, n.opts.Peers, id, kindRecords, RecordsRequest{From: next}, maxTransferSize)
		}
		var st *fleetlog.State
		if ans.Gone {
			st = n.fetchState(ctx, id, above)
		}
		n.post(func() { n.applyFetched(id, ans.Records, st) })
	})
}

func (n *Node) fetchState(ctx context.Context, id string, above uint64) *fleetlog.State {
	ans, err := peer.Call[StateRequest, StateAnswer](ctx, n.opts.Peers, id, kindState, StateRequest{Above: above}, maxTransferSize)
	if err != nil || len(ans.Encoded) == 0 {
		return nil
	}
	st, err := fleetlog.DecodeState(ans.Encoded)
	if err != nil {
		n.log.Warn("cannot decode state from peer", "peer", id, "error", err.Error())
		return nil
	}
	return st
}

func (n *Node) applyFetched(id string, records []platform.LogRecord, st *fleetlog.State) {
	n.fetching = false
	if h := n.peerReports[id]; h != nil {
		h.aheadSince = 0
	}
	if len(records) > 0 {
		n.ingest(records)
		return
	}
	if n.replica.Install(st) {
		n.log.Info("state installed from peer", "peer", id, "offset", st.Offset)
		n.tail.Advance(n.replica.Next())
		n.afterFold(nil)
	}
}
