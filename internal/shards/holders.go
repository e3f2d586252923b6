package shards

import (
	"context"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/platform"
)

// holdersTopic has a record for each duty: the member that claimed it last. It only serves
// to keep duties where they are. If the record is missing, out of date or unreadable, the
// duty is placed by rank, and the duty's epoch decides who owns it.
const holdersTopic = "keyed.holders"

// dutyKeyPrefix is the prefix of the keys in holdersTopic.
const dutyKeyPrefix = "d"

// holder is the record of a duty's newest claim.
type holder struct {
	// Member is the claimant's name in the group.
	Member string `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"`
}

// Duty is a duty that this process is about to claim: the ownership of one pool, or the
// management of instances. It implements tenure.Claims.
type Duty struct {
	m    *Manager
	name string
}

// NewestSeenEpoch implements tenure.Claims.
func (d Duty) NewestSeenEpoch() int64 {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	return d.m.holders[d.name].Epoch
}

// ObserveClaim implements tenure.Claims: it distributes the duties again with a claim that
// this process has not seen before.
//
// A claim that was abandoned half-way is not published by its claimant, so a process that
// finds its record publishes it: a node that does not claim the duty itself would keep an
// earlier holder as the owner, while that holder leaves the duty to the claimant.
func (d Duty) ObserveClaim(owner string, epoch int64) bool {
	claim := holder{Member: owner, Epoch: epoch}
	d.m.mergeHolders(map[string]holder{d.name: claim})
	if owner != d.m.opts.Member {
		go d.m.publishClaim(context.Background(), d.name, claim)
	}
	d.m.redistributeDuties()
	d.m.wake() // Run may have to start or end other duties
	next, ok := d.m.OwnerOf(d.name)
	return ok && next.Node == d.m.opts.Node
}

// RecordClaim records that this process has claimed the duty, and publishes the claim.
func (d Duty) RecordClaim(ctx context.Context, epoch int64) {
	claim := holder{Member: d.m.opts.Member, Epoch: epoch}
	d.m.mergeHolders(map[string]holder{d.name: claim})
	d.m.mu.Lock()
	if h := d.m.running[d.name]; h != nil {
		h.epoch = epoch
	}
	d.m.mu.Unlock()
	go d.m.publishClaim(ctx, d.name, claim)
}

// publishTimeout bounds the publishing of a claim: others also find an unpublished claim in
// the duty's own topic.
const publishTimeout = 2 * time.Second

// publishClaim records the newest claim of a duty that this process has seen.
func (m *Manager) publishClaim(ctx context.Context, duty string, claim holder) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	value, err := cbor.Marshal(claim)
	if err == nil {
		err = m.opts.Store.Put(ctx, holdersTopic, platform.Writer{}, []platform.Record{{Key: dutyKeyPrefix + duty, Value: value}})
	}
	if err != nil {
		m.opts.Logger.Warn("publishing the claim failed", "duty", duty, "epoch", claim.Epoch, "error", err.Error())
	}
}

// invalidateHolders makes the next reading of the members read the holders as well. It is
// called when a node that was taken for a duty's owner has answered that it is not. Two
// nodes that each take the other for the owner would otherwise do so until a member joins
// or leaves.
func (m *Manager) invalidateHolders() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holdersCurrent = false
}

// refreshHolders reads the duties' holders if the members have changed or if some duty's
// holder was not among them. If the store does not answer, the last reading stays.
func (m *Manager) refreshHolders(ctx context.Context, partitionMembers map[int]string) {
	m.mu.Lock()
	current := m.holdersCurrent && maps.Equal(partitionMembers, m.partitionMembers)
	m.mu.Unlock()
	if current {
		return
	}
	page, err := m.opts.Store.Journal.Newest(ctx, holdersTopic)
	if err != nil {
		m.opts.Logger.Warn("reading the holders of duties failed", "error", err.Error())
		return
	}
	m.mergeHolders(parseHolders(page.Records))
}

// parseHolders skips unreadable records.
func parseHolders(records []platform.Record) map[string]holder {
	out := map[string]holder{}
	for _, r := range records {
		var h holder
		if r.Damaged || len(r.Key) < len(dutyKeyPrefix) || r.Key[:len(dutyKeyPrefix)] != dutyKeyPrefix || cbor.Unmarshal(r.Value, &h) != nil {
			continue
		}
		out[r.Key[len(dutyKeyPrefix):]] = h
	}
	return out
}

// mergeHolders adds the claims that are newer than the known ones: a claim that was
// published late must not replace its successor's.
func (m *Manager) mergeHolders(claims map[string]holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for duty, h := range claims {
		if h.Epoch > m.holders[duty].Epoch {
			m.holders[duty] = h
		}
	}
}

// heldElsewhereLocked reports whether another current member is known to have claimed a duty
// last.
func (m *Manager) heldElsewhereLocked(duty string) bool {
	holderName := m.holders[duty].Member
	if holderName == m.opts.Member {
		return false
	}
	for _, other := range m.members {
		if other.name == holderName {
			return true
		}
	}
	return false
}

// ownersMatchHolders reports whether each duty is assigned to the member that claimed it
// last.
func ownersMatchHolders(owners map[string]Owner, members []member, holders map[string]holder) bool {
	byName := map[string]Owner{}
	for _, candidate := range members {
		byName[candidate.name] = candidate.Owner
	}
	for duty, owner := range owners {
		if byName[holders[duty].Member] != owner {
			return false
		}
	}
	return len(owners) > 0
}
