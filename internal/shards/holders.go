package shards

import (
	"context"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/platform"
)

// topicHolders has a record for each duty: who claimed it last. It only lets
// duties stay where they are. Whoever finds no record, an old one or one that can't
// be read places the duty by rank, and the duty's epoch decides who owns it.
const topicHolders = "keyed.holders"

// keyDuty begins the keys of topicHolders.
const keyDuty = "d"

// holder is the record of a duty's newest claim.
type holder struct {
	// Member is the claimant's name in the group.
	Member string `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"`
}

// Duty is a duty that this process is about to claim. It implements tenure.Claims.
type Duty struct {
	m    *Manager
	name string
}

// Known implements tenure.Claims.
func (d Duty) Known() int64 {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	return d.m.holders[d.name].Epoch
}

// Learn implements tenure.Claims: the duties are spread anew with the claim that
// this process did not know of.
//
// A claim that was given up half-way is published by nobody. Whoever finds its record
// tells the others: a node that does not try to claim the duty would go on taking an
// earlier holder for its owner, and that one leaves it to the node.
func (d Duty) Learn(owner string, epoch int64) bool {
	claim := holder{Member: owner, Epoch: epoch}
	d.m.mergeHolders(map[string]holder{d.name: claim})
	if owner != d.m.opts.Member {
		go d.m.publishClaim(context.Background(), d.name, claim)
	}
	d.m.spreadAgain()
	d.m.wake() // Run may have another duty to begin or to end by that
	next, ok := d.m.OwnerOf(d.name)
	return ok && next.Node == d.m.opts.Node
}

// Claimed takes in that this process has claimed the duty, and tells the others.
func (d Duty) Claimed(ctx context.Context, epoch int64) {
	claim := holder{Member: d.m.opts.Member, Epoch: epoch}
	d.m.mergeHolders(map[string]holder{d.name: claim})
	d.m.mu.Lock()
	if h := d.m.running[d.name]; h != nil {
		h.epoch = epoch
	}
	d.m.mu.Unlock()
	go d.m.publishClaim(ctx, d.name, claim)
}

// publishLimit bounds the writing of a claim: one that was not published is learnt of
// from its duty's own topic.
const publishLimit = 2 * time.Second

// publishClaim records who has claimed a duty last, as far as this process knows.
func (m *Manager) publishClaim(ctx context.Context, duty string, claim holder) {
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	value, err := cbor.Marshal(claim)
	if err == nil {
		err = m.opts.Store.Put(ctx, topicHolders, platform.Writer{}, []platform.Record{{Key: keyDuty + duty, Value: value}})
	}
	if err != nil {
		m.opts.Logger.Warn("claim not published", "duty", duty, "epoch", claim.Epoch, "error", err.Error())
	}
}

// doubtHolders lets the next reading of the members read the holders as well: a node
// that was taken for a duty's owner has answered that it is not. Two nodes that each
// take the other for the owner would otherwise do so for as long as no member comes
// or goes.
func (m *Manager) doubtHolders() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settled = false
}

// refreshHolders reads who claimed the duties last, where the members have changed
// or some duty's holder was not among them. Without an answer the last reading
// holds.
func (m *Manager) refreshHolders(ctx context.Context, rows map[int]string) {
	m.mu.Lock()
	known := m.settled && maps.Equal(rows, m.rows)
	m.mu.Unlock()
	if known {
		return
	}
	page, err := m.opts.Store.Journal.Newest(ctx, topicHolders)
	if err != nil {
		m.opts.Logger.Warn("holders of duties not read", "error", err.Error())
		return
	}
	m.mergeHolders(holdersOf(page.Records))
}

// holdersOf leaves out what can't be read.
func holdersOf(records []platform.Record) map[string]holder {
	out := map[string]holder{}
	for _, r := range records {
		var h holder
		if r.Damaged || len(r.Key) < len(keyDuty) || r.Key[:len(keyDuty)] != keyDuty || cbor.Unmarshal(r.Value, &h) != nil {
			continue
		}
		out[r.Key[len(keyDuty):]] = h
	}
	return out
}

// mergeHolders takes in claims that are newer than those known. A claim that was
// published late must not hide its successor's.
func (m *Manager) mergeHolders(claims map[string]holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for duty, h := range claims {
		if h.Epoch > m.holders[duty].Epoch {
			m.holders[duty] = h
		}
	}
}

// heldElsewhereLocked reports whether another living member claimed a duty last, as
// far as is known.
func (m *Manager) heldElsewhereLocked(duty string) bool {
	by := m.holders[duty].Member
	if by == m.opts.Member {
		return false
	}
	for _, b := range m.members {
		if b.name == by {
			return true
		}
	}
	return false
}

// settled reports whether each duty is with the member that claimed it last.
func settled(owners map[string]Owner, members []member, holders map[string]holder) bool {
	byName := map[string]Owner{}
	for _, b := range members {
		byName[b.name] = b.Owner
	}
	for duty, owner := range owners {
		if byName[holders[duty].Member] != owner {
			return false
		}
	}
	return len(owners) > 0
}
