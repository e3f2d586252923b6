package fleetlog

import (
	"crypto/sha256"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/membership"
)

// KeysApplied holds the effect of a record about idempotency keys, for the
// entry that owns the keys.
type KeysApplied struct {
	Claims        *idempotency.ClaimBatch
	ClaimResults  []idempotency.ClaimResult
	Finishes      *idempotency.FinishBatch
	FinishResults []idempotency.FinishResult
}

// lossTracker detects which key claims may have been lost. During an outage of
// the log a claim is held in memory by its owner and one witness; both append
// their claims to the log first when it is available again. A claim is lost
// only if both processes end before that.
type lossTracker struct {
	// Fences holds the offset of each entry's newest record of finishes. An
	// entry writes such a record only after it has appended all claims that it
	// held.
	Fences map[string]uint64 `cbor:"1,keyasint"`
	Losses []entryLoss       `cbor:"2,keyasint"`
}

// entryLoss records an entry that ended without leaving gracefully.
type entryLoss struct {
	Member     string               `cbor:"1,keyasint"`
	Offset     uint64               `cbor:"2,keyasint"`
	TimeMillis int64                `cbor:"3,keyasint"`
	Before     []idempotency.Member `cbor:"4,keyasint"` // entries before the loss
}

// recordEntryLoss records the loss of an entry. If an entry lost earlier may
// have been the owner or the witness of claims held with this one, and this one
// has written no fence since, the keys shared by the two are marked uncertain:
// requests with them are refused with an unknown outcome instead of being run a
// second time.
func (s *State) recordEntryLoss(m fold.Meta, id string, before []idempotency.Member) {
	g := &s.Guard
	g.dropExpired(m.TimeMillis)
	for _, l := range g.Losses {
		if l.Member != id && g.Fences[id] < l.Offset {
			s.Keys.MarkUncertain(m, []string{l.Member, id}, l.Before, l.TimeMillis)
		}
	}
	g.Losses = append(g.Losses, entryLoss{Member: id, Offset: m.Offset, TimeMillis: m.TimeMillis, Before: before})
	delete(g.Fences, id)
}

func (g *lossTracker) dropExpired(nowMillis int64) {
	kept := g.Losses[:0]
	for _, l := range g.Losses {
		if nowMillis-l.TimeMillis < idempotency.Retention.Milliseconds() {
			kept = append(kept, l)
		}
	}
	g.Losses = kept
}

func (s *State) applyClaims(m fold.Meta, b idempotency.ClaimBatch) (fold.Verdict, *KeysApplied) {
	v, results := s.Keys.ApplyClaims(m, b, s.entryBootID)
	return v, &KeysApplied{Claims: &b, ClaimResults: results}
}

func (s *State) applyFinishes(m fold.Meta, b idempotency.FinishBatch) (fold.Verdict, *KeysApplied) {
	v, results := s.Keys.ApplyFinishes(m, b)
	if boot, member := s.entryBootID(b.Owner); v.Accepted && member && boot == b.OwnerBoot {
		if s.Guard.Fences == nil {
			s.Guard.Fences = make(map[string]uint64)
		}
		s.Guard.Fences[b.Owner] = m.Offset
	}
	return v, &KeysApplied{Finishes: &b, FinishResults: results}
}

func (s *State) entryBootID(id string) (string, bool) {
	m, ok := s.Members.Members[id]
	return m.BootID, ok && m.Role == membership.RoleEntry
}

// Entries returns the member entries as possible owners of keys, sorted by id.
func (s *State) Entries() []idempotency.Member {
	var out []idempotency.Member
	for _, m := range s.Members.WithRole(membership.RoleEntry) {
		out = append(out, idempotency.Member{ID: m.ID, BootID: m.BootID, Zone: m.Zone})
	}
	return out
}

// IDFromName derives a record id from a name that its author keeps unique. Records
// appended repeatedly under the same name are applied once.
func IDFromName(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(sum[:16])
}
