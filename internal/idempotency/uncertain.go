package idempotency

import (
	"slices"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/rendezvous"
)

// Member is an entry that owns keys.
type Member struct {
	ID     string `cbor:"1,keyasint" json:"id"`
	BootID string `cbor:"2,keyasint" json:"boot_id"`
	Zone   string `cbor:"3,keyasint" json:"zone"`
}

// Uncertain marks the keys whose claims may have been lost: their owner and
// its witness are both gone, and both may have held claims that never reached
// the log. Such a key is refused as unknown unless the fold knows it.
type Uncertain struct {
	// Lost are the members that are gone.
	Lost []string `cbor:"1,keyasint" json:"lost"`
	// Members are those among which owner and witness were chosen.
	Members []Member `cbor:"2,keyasint" json:"members"`
	// SinceMillis is when the log stopped answering, for people.
	SinceMillis int64 `cbor:"3,keyasint" json:"since_ms"`
	// UntilMillis is the log time at which the mark ends.
	UntilMillis int64 `cbor:"4,keyasint" json:"until_ms"`
}

// MarkUncertain is called by the fold where members are lost of which both the
// owner and the witness of a key may have held unflushed claims, as known to
// every reader at that offset. members are all members before the loss, the
// lost ones included.
//
// Only keys with both owner and witness among the lost are refused: with seven
// members in four zones and two of them lost, one key in about 18. The mark
// lasts as long as a key is remembered, since a lost claim would have been
// remembered that long.
func (s *State) MarkUncertain(meta fold.Meta, lost []string, members []Member, sinceMillis int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(meta.TimeMillis)
	s.uncertain = append(s.uncertain, Uncertain{
		Lost: slices.Clone(lost), Members: slices.Clone(members),
		SinceMillis: sinceMillis, UntilMillis: meta.TimeMillis + Retention.Milliseconds(),
	})
}

// Uncertain tells whether a key's history may have been lost.
func (s *State) Uncertain(key KeyHash) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.isUncertain(key)
}

// UncertainRanges lists the marks in force, for dumps.
func (s *State) UncertainRanges() []Uncertain {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.uncertain)
}

func (s *State) isUncertain(key KeyHash) bool {
	for _, u := range s.uncertain {
		if s.now < u.UntilMillis && u.covers(key) {
			return true
		}
	}
	return false
}

func (u Uncertain) covers(key KeyHash) bool {
	owner, ok := ownerOf(key, u.Members)
	if !ok || !slices.Contains(u.Lost, owner.ID) {
		return false
	}
	witness, ok := witnessOf(key, u.Members, owner)
	return !ok || slices.Contains(u.Lost, witness.ID)
}

func (s *State) expireUncertain() {
	s.uncertain = slices.DeleteFunc(s.uncertain, func(u Uncertain) bool { return s.now >= u.UntilMillis })
}

// ownerOf returns the member that owns a key.
func ownerOf(key KeyHash, members []Member) (Member, bool) {
	return pick(key, members, func(Member) bool { return true })
}

// witnessOf returns the member that holds a key's claims beside its owner: the
// first choice in another availability zone, so that the loss of one zone
// doesn't take both.
func witnessOf(key KeyHash, members []Member, owner Member) (Member, bool) {
	return pick(key, members, func(m Member) bool { return m.Zone != owner.Zone })
}

func pick(key KeyHash, members []Member, eligible func(Member) bool) (Member, bool) {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		if eligible(m) {
			ids = append(ids, m.ID)
		}
	}
	id, ok := rendezvous.Owner(key[:], ids)
	if !ok {
		return Member{}, false
	}
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	return members[i], true
}
