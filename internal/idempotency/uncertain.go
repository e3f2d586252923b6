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

// Uncertain marks the keys whose claims may be lost: both the owner and the witness
// are gone, and both may have held claims that never reached the log. Such a key
// is refused as unknown unless it is in the fold.
type Uncertain struct {
	// Lost are the IDs of the members that are gone.
	Lost []string `cbor:"1,keyasint" json:"lost"`
	// Members are those among which owner and witness were chosen.
	Members []Member `cbor:"2,keyasint" json:"members"`
	// SinceMillis is when the log became unavailable, for information only.
	SinceMillis int64 `cbor:"3,keyasint" json:"since_ms"`
	// UntilMillis is the log time at which the mark expires.
	UntilMillis int64 `cbor:"4,keyasint" json:"until_ms"`
}

// MarkUncertain is called by the fold when the lost members may include both the
// owner and the witness of a key with unflushed claims, as every reader can tell
// at that offset. members are all members before the loss, including the lost
// ones.
//
// Only keys whose owner and witness are both lost are refused: with seven members
// in four zones and two of them lost, about one key in 18. The mark lasts for
// Retention, as long as a lost claim would have been remembered.
func (s *State) MarkUncertain(meta fold.Meta, lost []string, members []Member, sinceMillis int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(meta.TimeMillis)
	s.uncertain = append(s.uncertain, Uncertain{
		Lost: slices.Clone(lost), Members: slices.Clone(members),
		SinceMillis: sinceMillis, UntilMillis: meta.TimeMillis + Retention.Milliseconds(),
	})
}

// Uncertain reports whether records of the key may be lost.
func (s *State) Uncertain(key KeyHash) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.isUncertain(key)
}

// UncertainRanges returns the marks in force, for dumps.
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
	return highestRanked(key, members, func(Member) bool { return true })
}

// witnessOf returns the member that holds a key's claims besides its owner: the
// highest ranked one in another availability zone, so that the loss of one zone
// does not take both.
func witnessOf(key KeyHash, members []Member, owner Member) (Member, bool) {
	return highestRanked(key, members, func(m Member) bool { return m.Zone != owner.Zone })
}

func highestRanked(key KeyHash, members []Member, eligible func(Member) bool) (Member, bool) {
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
