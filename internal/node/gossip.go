package node

import (
	"context"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/platform"
)

const (
	// fetchBytes bounds one answer of records to a peer.
	fetchBytes = 512 << 10
	// fetchLimit bounds one fetch from a peer.
	fetchLimit = 2 * time.Second
)

// transfer lets records and states be larger than ordinary messages.
var transfer = peer.MaxBytes(peer.MaxTransfer)

// handlePeers registers what peers may ask. Handlers run outside the control
// goroutine and go through it for state.
func (n *Node) handlePeers() {
	peer.HandleNotice(n.opts.Peers, kindHeartbeat, func(from peer.Identity, hb Heartbeat) {
		n.post(func() { n.onHeartbeat(from, hb) })
	})
	peer.Handle(n.opts.Peers, kindRecords,
		func(_ context.Context, _ peer.Identity, req RecordsRequest) (RecordsAnswer, error) {
			var ans RecordsAnswer
			ok := n.Do(func() {
				ans.Records = n.ring.from(req.From, fetchBytes)
				ans.Gone = len(ans.Records) == 0 && !n.replica.Cold() && n.State().Offset >= req.From
			})
			if !ok {
				return ans, &StoppedError{}
			}
			return ans, nil
		}, transfer)
	peer.Handle(n.opts.Peers, kindState,
		func(_ context.Context, _ peer.Identity, req StateRequest) (ans StateAnswer, err error) {
			ok := n.Do(func() {
				if !n.replica.Cold() && n.State().Offset > req.Above {
					ans.Encoded, err = n.State().Encode()
				}
			})
			if !ok {
				return ans, &StoppedError{}
			}
			return ans, err
		}, transfer)
}

// setPeers dials the members of the fold and, until those are known, the seeds
// of the settings.
func (n *Node) setPeers() {
	wanted := make(map[string]string, len(n.opts.Seeds))
	for id, addr := range n.opts.Seeds {
		wanted[id] = addr
	}
	for id, m := range n.State().Members.Members {
		wanted[id] = m.PeerAddr
	}
	delete(wanted, n.opts.Self.ID)
	if sameMap(wanted, n.wanted) {
		return
	}
	n.wanted = wanted
	if err := n.opts.Peers.SetPeers(wanted); err != nil {
		n.log.Warn("peers not set", "error", err.Error())
	}
}

func sameMap(a, b map[string]string) bool {
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

func (n *Node) beatIfDue() {
	now := n.Now()
	since := now - n.lastBeat
	if since < n.opts.Heartbeat && (!n.beatWanted || since < beatSpacing) {
		return
	}
	n.lastBeat, n.beatWanted = now, false
	notLive := n.ownNotLive()
	for id := range n.wanted {
		hb := Heartbeat{
			Acked: n.ackedOffset, Generation: n.State().Manifest.Generation,
			ListVersion: n.list.Version, NotLive: notLive,
		}
		n.hooks.Beat(id, &hb)
		_ = peer.Notify(n.opts.Peers, id, kindHeartbeat, hb) // the next one says it all again
	}
}

// Hurry asks for a heartbeat soon; loop-only.
func (n *Node) Hurry() { n.beatWanted = true }

func (n *Node) onHeartbeat(from peer.Identity, hb Heartbeat) {
	now := n.Now()
	h, ok := n.heard[from.ID]
	if !ok || h.Identity.BootID != from.BootID {
		h = &Heard{}
		n.heard[from.ID] = h
	}
	h.Identity, h.Beat, h.At = from, hb, now
	if hb.Acked <= n.State().Offset {
		h.aheadSince = 0
	} else if h.aheadSince == 0 {
		h.aheadSince = now
	}
	if hb.ListVersion > max(n.list.Version, n.notLiveV) {
		n.learnNotLive(hb)
	}
	n.hooks.Heard(from, hb)
}

// Heard returns what peers last said, by id; loop-only.
func (n *Node) Heard() map[string]*Heard { return n.heard }

// fetchIfBehind takes records from a peer that has been ahead for longer than
// the log takes to deliver: one slow reader of the log, or one cut off from
// it, must not hold a roll-out up.
func (n *Node) fetchIfBehind() {
	if n.fetching {
		return
	}
	now := n.Now()
	if n.replica.Cold() {
		if now-n.started > coldPatience {
			n.fetch(n.anyPeer(), true)
		}
		return
	}
	for id, h := range n.heard {
		if h.aheadSince != 0 && now-h.aheadSince > fetchAfter {
			n.fetch(id, false)
			return
		}
	}
}

// anyPeer picks a peer to ask for its state. Map order varies, so that a
// process that is refused by one asks another next.
func (n *Node) anyPeer() string {
	for id := range n.wanted {
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
		ctx, cancel := context.WithTimeout(n.ctx, fetchLimit)
		defer cancel()
		ans := RecordsAnswer{Gone: cold}
		if !cold {
			// An error is no reason to take the state: jumping over records
			// costs the entry what it would have learnt from them one by one.
			ans, _ = peer.Call[RecordsRequest, RecordsAnswer](ctx, n.opts.Peers, id, kindRecords, RecordsRequest{From: next}, transfer)
		}
		var st *fleetlog.State
		if ans.Gone {
			st = n.fetchState(ctx, id, above)
		}
		n.post(func() { n.fetched(id, ans.Records, st) })
	})
}

func (n *Node) fetchState(ctx context.Context, id string, above uint64) *fleetlog.State {
	ans, err := peer.Call[StateRequest, StateAnswer](ctx, n.opts.Peers, id, kindState, StateRequest{Above: above}, transfer)
	if err != nil || len(ans.Encoded) == 0 {
		return nil
	}
	st, err := fleetlog.DecodeState(ans.Encoded)
	if err != nil {
		n.log.Warn("state from peer", "peer", id, "error", err.Error())
		return nil
	}
	return st
}

func (n *Node) fetched(id string, records []platform.LogRecord, st *fleetlog.State) {
	n.fetching = false
	if h := n.heard[id]; h != nil {
		h.aheadSince = 0
	}
	if len(records) > 0 {
		n.ingest(records)
		return
	}
	if n.replica.Install(st) {
		n.log.Info("state taken from peer", "peer", id, "offset", st.Offset)
		n.tail.Advance(n.replica.Next())
		n.afterFold(nil)
	}
}
