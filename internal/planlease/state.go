// Package planlease elects the one planner that may act on the fleet. The
// lease lives in the log: the first claim that follows the current epoch wins,
// and the fold rejects every planner record of an older epoch. Clocks decide
// only when somebody tries, never who holds it.
package planlease

import "cyclamenwheel/internal/fold"

// Reasons for rejecting lease records.
const (
	// ReasonOutrun marks a claim that another claim of the same epoch came
	// before in the log.
	ReasonOutrun fold.Reason = "outrun"
	// ReasonRenewed marks a claim whose author had not read the holder's newest
	// renewal: it took its own lag for the holder's silence.
	ReasonRenewed fold.Reason = "renewed_meanwhile"
	// ReasonNotHolder marks a renewal by a process that is not the holder.
	ReasonNotHolder fold.Reason = "not_holder"
)

// Claim asks for the lease. It is valid if it is the first claim in log order
// that follows the current epoch.
type Claim struct {
	// Follows is the epoch that the claimant saw as current.
	Follows uint64 `cbor:"1,keyasint"`
	Holder  string `cbor:"2,keyasint"`
	BootID  string `cbor:"3,keyasint"`
	// Renewed is State.Renewed as the claimant knows it. Without it a process
	// that reads the log late could take the lease from a live holder, and both
	// would believe that they hold it until the holder had read the claim.
	Renewed uint64 `cbor:"4,keyasint"`
}

// Renew tells challengers that the holder is alive.
type Renew struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
	BootID string `cbor:"3,keyasint"`
}

// Release gives the lease up, so that a successor need not wait for the TTL.
type Release struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// State is the lease as folded.
type State struct {
	Epoch  uint64 `cbor:"1,keyasint" json:"epoch"`
	Holder string `cbor:"2,keyasint" json:"holder"`
	BootID string `cbor:"3,keyasint" json:"boot_id"`
	// Renewed is the offset of the newest claim, renewal or release.
	Renewed uint64 `cbor:"4,keyasint" json:"renewed_offset"`
	// Released is set once the holder gave it up.
	Released bool `cbor:"5,keyasint" json:"released"`
}

// ApplyClaim folds a claim.
func (s *State) ApplyClaim(m fold.Meta, c Claim) fold.Verdict {
	if c.Follows != s.Epoch {
		return fold.Reject(ReasonOutrun, "holder is "+s.Holder)
	}
	if c.Renewed != s.Renewed {
		return fold.Reject(ReasonRenewed, "holder is "+s.Holder)
	}
	*s = State{Epoch: s.Epoch + 1, Holder: c.Holder, BootID: c.BootID, Renewed: m.Offset}
	return fold.Accept()
}

// ApplyRenew folds a renewal.
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

// ApplyRelease folds a release.
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
