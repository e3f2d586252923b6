package fleetlog

import (
	"crypto/sha256"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/membership"
)

// KeysApplied is what a record of keys did, for the entry that owns them.
type KeysApplied struct {
	Claims        *idempotency.ClaimBatch
	ClaimResults  []idempotency.ClaimResult
	Finishes      *idempotency.FinishBatch
	FinishResults []idempotency.FinishResult
}

// keyGuard finds out where claims may have been lost. During an outage of the
// log a claim is held by its owner and one witness; when the log is back each
// journals what it holds before anything else. Claims are lost only if both
// are gone before that.
type keyGuard struct {
	// Fences holds the offset of each entry's newest record of finishes. An
	// entry writes one only when it has nothing held left to journal.
	Fences map[string]uint64 `cbor:"1,keyasint"`
	Losses []loss            `cbor:"2,keyasint"`
}

// loss is an entry that went without a graceful leave.
type loss struct {
	Member     string               `cbor:"1,keyasint"`
	Offset     uint64               `cbor:"2,keyasint"`
	TimeMillis int64                `cbor:"3,keyasint"`
	Before     []idempotency.Member `cbor:"4,keyasint"` // entries before it went
}

// lost notes a loss. If an entry lost earlier may have had the new one as its
// witness, or the other way round, and the new one has written no fence since,
// the keys between them are marked as uncertain: they are refused as unknown
// rather than run a second time.
func (s *State) entryLost(m fold.Meta, id string, before []idempotency.Member) {
	g := &s.Guard
	g.expire(m.TimeMillis)
	for _, l := range g.Losses {
		if l.Member != id && g.Fences[id] < l.Offset {
			s.Keys.MarkUncertain(m, []string{l.Member, id}, l.Before, l.TimeMillis)
		}
	}
	g.Losses = append(g.Losses, loss{Member: id, Offset: m.Offset, TimeMillis: m.TimeMillis, Before: before})
	delete(g.Fences, id)
}

func (g *keyGuard) expire(nowMillis int64) {
	keep := g.Losses[:0]
	for _, l := range g.Losses {
		if nowMillis-l.TimeMillis < idempotency.Retention.Milliseconds() {
			keep = append(keep, l)
		}
	}
	g.Losses = keep
}

func (s *State) applyClaims(m fold.Meta, b idempotency.ClaimBatch) (fold.Verdict, *KeysApplied) {
	v, results := s.Keys.ApplyClaims(m, b, s.bootOf)
	return v, &KeysApplied{Claims: &b, ClaimResults: results}
}

func (s *State) applyFinishes(m fold.Meta, b idempotency.FinishBatch) (fold.Verdict, *KeysApplied) {
	v, results := s.Keys.ApplyFinishes(m, b)
	if boot, member := s.bootOf(b.Owner); v.Accepted && member && boot == b.OwnerBoot {
		if s.Guard.Fences == nil {
			s.Guard.Fences = make(map[string]uint64)
		}
		s.Guard.Fences[b.Owner] = m.Offset
	}
	return v, &KeysApplied{Finishes: &b, FinishResults: results}
}

func (s *State) bootOf(id string) (string, bool) {
	m, ok := s.Members.Members[id]
	return m.BootID, ok && m.Role == membership.RoleEntry
}

// Entries returns the entries in the form that keys are owned by, by id.
func (s *State) Entries() []idempotency.Member {
	var out []idempotency.Member
	for _, m := range s.Members.WithRole(membership.RoleEntry) {
		out = append(out, idempotency.Member{ID: m.ID, BootID: m.BootID, Zone: m.Zone})
	}
	return out
}

// NamedID is the record id of a name that its author keeps unique. A
// repetition under the same name is folded once.
func NamedID(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(sum[:16])
}
