// Package planlease decides which single planner process may act on the fleet, and when a process
// should claim or renew that lease. Its input is the lease records in the log, folded in log order
// into State (the first claim that follows the current epoch wins, and records of older epochs are
// rejected), and each process's own clock, which decides only when to try and never who holds the
// lease. The planner calls Contender and appends the records it asks for, the fold of the fleet
// log calls State's Apply methods, and other packages use Boottime as their monotonic clock.
package planlease

import "cyclamenwheel/internal/fold"

// Reasons for rejecting lease records.
const (
	// ReasonLostRace marks a claim that lost the race: another claim for the same epoch precedes it
	// in the log.
	ReasonLostRace fold.Reason = "outrun"
	// ReasonRenewed marks a claim whose author had not read the holder's latest renewal and
	// mistook its own lag for an expired lease.
	ReasonRenewed fold.Reason = "renewed_meanwhile"
	// ReasonNotHolder marks a renewal by a process that does not hold the lease.
	ReasonNotHolder fold.Reason = "not_holder"
)

// Claim requests the lease. It is accepted if it is the first claim in log order that follows the
// current epoch.
type Claim struct {
	// Follows is the current epoch as the claimant read it.
	Follows uint64 `cbor:"1,keyasint"`
	Holder  string `cbor:"2,keyasint"`
	BootID  string `cbor:"3,keyasint"`
	// Renewed is State.Renewed as the claimant read it. Without it a process that reads the log
	// late could claim the lease while the holder is still renewing it, and both would consider
	// themselves holders until the old holder had read the claim.
	Renewed uint64 `cbor:"4,keyasint"`
}

// Renew extends the holder's lease.
type Renew struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
	BootID string `cbor:"3,keyasint"`
}

// Release gives up the lease, so that a successor need not wait for the TTL.
type Release struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// State is the lease as folded from the log.
type State struct {
	Epoch  uint64 `cbor:"1,keyasint" json:"epoch"`
	Holder string `cbor:"2,keyasint" json:"holder"`
	BootID string `cbor:"3,keyasint" json:"boot_id"`
	// Renewed is the log offset of the latest claim, renewal or release.
	Renewed uint64 `cbor:"4,keyasint" json:"renewed_offset"`
	// Released is set when the holder has given up the lease.
	Released bool `cbor:"5,keyasint" json:"released"`
}

// ApplyClaim folds a claim into the state.
func (s *State) ApplyClaim(m fold.Meta, c Claim) fold.Verdict {
	if c.Follows != s.Epoch {
		return fold.Reject(ReasonLostRace, "holder is "+s.Holder)
	}
	if c.Renewed != s.Renewed {
		return fold.Reject(ReasonRenewed, "holder is "+s.Holder)
	}
	*s = State{Epoch: s.Epoch + 1, Holder: c.Holder, BootID: c.BootID, Renewed: m.Offset}
	return fold.Accept()
}

// ApplyRenew folds a renewal into the state.
func (s *State) ApplyRenew(m fold.Meta, r Renew) fold.Verdict {
	if r.Epoch != s.Epoch {
		return fold.Reject(fold.ReasonStaleEpoch, "holder is "+s.Holder)
	}
	if r.Holder != s.Holder || r.BootID != s.BootID || s.Released {
		return fold.Reject(ReasonNotHolder, "holder is "+s.Holder)
	}
	s.Renewed = m.Offset
	return fold.Accept()
}

// ApplyRelease folds a release into the state.
func (s *State) ApplyRelease(m fold.Meta, r Release) fold.Verdict {
	if r.Epoch != s.Epoch {
		return fold.Reject(fold.ReasonStaleEpoch, "holder is "+s.Holder)
	}
	s.Released = true
	s.Renewed = m.Offset
	return fold.Accept()
}

// Current reports whether records written under epoch are still accepted.
func (s *State) Current(epoch uint64) bool {
	return epoch == s.Epoch && epoch != 0 && !s.Released
}
