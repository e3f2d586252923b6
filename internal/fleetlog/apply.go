package fleetlog

import (
	"slices"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// Applied is a record after the fold, with its verdict.
type Applied struct {
	Offset  uint64
	Record  Record
	Verdict fold.Verdict
	// Keys is set for records about idempotency keys.
	Keys *KeysApplied
	// Entries is set if the record changed the members; it lists the entries
	// that are members from this offset on.
	Entries []idempotency.Member
}

// Apply folds the next record of the log. entry.Offset must be s.Offset+1, which
// Replica guarantees. Apply is deterministic: the result depends only on s and
// entry, and it reads no clock.
func (s *State) Apply(entry platform.LogRecord) Applied {
	s.Offset = entry.Offset
	s.TimeMillis = max(s.TimeMillis, entry.TimeMillis)
	rec, err := DecodeRecord(entry.Data)
	out := Applied{Offset: entry.Offset, Record: rec}
	switch {
	case err != nil:
		out.Verdict = fold.Reject(fold.ReasonMalformed, err.Error())
	case !s.Recent.add(rec.ID, entry.Offset):
		out.Verdict = fold.Reject(fold.ReasonDuplicate, "")
	default:
		meta := fold.Meta{Offset: s.Offset, TimeMillis: s.TimeMillis, Author: rec.Author, Epoch: rec.Epoch}
		out.Verdict = s.dispatch(meta, rec, &out)
	}
	if s.Members.Version == s.Offset {
		out.Entries = s.Entries()
	}
	s.countVerdict(rec.Kind, out.Verdict.Reason)
	return out
}

// countVerdict updates the totals shown in dumps. Unknown kinds share one row;
// otherwise any writer could make the state of every process grow.
func (s *State) countVerdict(k Kind, reason fold.Reason) {
	if !k.Known() {
		k = "unknown"
	}
	s.Counts[string(k)+"/"+string(reason)]++
}

// dispatch applies the record to the part of the state that handles its kind.
func (s *State) dispatch(m fold.Meta, rec Record, out *Applied) fold.Verdict {
	if requiresPlannerLease(rec.Kind) && !s.Lease.Current(m.Epoch) {
		return fold.Reject(fold.ReasonStaleEpoch, "holder is "+s.Lease.Holder)
	}
	switch rec.Kind {
	case KindPublish:
		return applyBody(rec, func(b manifest.Publish) fold.Verdict { return s.applyPublish(m, b) })
	case KindLeaseClaim:
		return applyBody(rec, func(b planlease.Claim) fold.Verdict { return s.Lease.ApplyClaim(m, b) })
	case KindLeaseRenew:
		return applyBody(rec, func(b planlease.Renew) fold.Verdict { return s.Lease.ApplyRenew(m, b) })
	case KindLeaseRelease:
		return applyBody(rec, func(b planlease.Release) fold.Verdict { return s.Lease.ApplyRelease(m, b) })
	case KindJoin:
		return applyBody(rec, func(b membership.Join) fold.Verdict { return s.applyJoin(m, b) })
	case KindLeave:
		return applyBody(rec, func(b membership.Leave) fold.Verdict { return s.applyLeave(m, b) })
	case KindSeen:
		return applyBody(rec, func(b pools.Seen) fold.Verdict { return s.Pools.ApplySeen(m, b) })
	case KindDown:
		return applyBody(rec, func(b pools.Down) fold.Verdict { return s.Pools.ApplyDown(m, b) })
	case KindForget:
		return applyBody(rec, func(b pools.Forget) fold.Verdict { return s.Pools.ApplyForget(m, b) })
	case KindBegin:
		return applyBody(rec, func(b pools.Begin) fold.Verdict { return s.Pools.ApplyBegin(m, b, &s.Manifest) })
	case KindCommit:
		return applyBody(rec, func(b pools.Commit) fold.Verdict { return s.Pools.ApplyCommit(m, b) })
	case KindTasks:
		return applyBody(rec, func(b placement.Tasks) fold.Verdict {
			return s.Tasks.Apply(m, b, s.Manifest.Current(), s.Pools.Instances)
		})
	case KindKeyClaim:
		return applyBody(rec, func(b idempotency.ClaimBatch) (v fold.Verdict) {
			v, out.Keys = s.applyClaims(m, b)
			return v
		})
	case KindKeyFinish:
		return applyBody(rec, func(b idempotency.FinishBatch) (v fold.Verdict) {
			v, out.Keys = s.applyFinishes(m, b)
			return v
		})
	case KindMark:
		return applyBody(rec, func(b Mark) fold.Verdict { return s.applyMark(m, b) })
	case KindPart:
		// Parts are read by starting processes; they change no state.
		return fold.Accept()
	}
	return fold.Reject(ReasonUnknownKind, string(rec.Kind))
}

// ReasonUnknownKind marks a record of a kind that this version doesn't support.
const ReasonUnknownKind fold.Reason = "unknown_kind"

// requiresPlannerLease reports whether only the holder of the planner lease may
// write records of this kind. The check in the fold fences a planner that was
// paused until its lease expired: it can still append, but its records have no
// effect.
func requiresPlannerLease(k Kind) bool {
	switch k {
	case KindSeen, KindDown, KindForget, KindBegin, KindCommit, KindTasks:
		return true
	}
	return false
}

func applyBody[T any](rec Record, f func(T) fold.Verdict) fold.Verdict {
	body, v := decodeBody[T](rec)
	if !v.Accepted {
		return v
	}
	return f(body)
}

func (s *State) applyPublish(m fold.Meta, b manifest.Publish) fold.Verdict {
	v := s.Manifest.ApplyPublish(m, b)
	if v.Accepted {
		s.Tasks.Forget(s.Manifest.Current(), s.Pools.Instances)
	}
	return v
}

func (s *State) applyJoin(m fold.Meta, b membership.Join) fold.Verdict {
	before := s.Entries()
	v, lost := s.Members.ApplyJoin(m, b)
	s.handleMemberLoss(m, lost, before)
	return v
}

func (s *State) applyLeave(m fold.Meta, b membership.Leave) fold.Verdict {
	before := s.Entries()
	v, lost := s.Members.ApplyLeave(m, b, s.Lease.Current(m.Epoch))
	s.handleMemberLoss(m, lost, before)
	return v
}

// handleMemberLoss records the loss of an entry that ended without leaving
// gracefully; lost is nil if no member was lost.
func (s *State) handleMemberLoss(m fold.Meta, lost *membership.Lost, before []idempotency.Member) {
	if lost == nil {
		return
	}
	wasEntry := func(e idempotency.Member) bool { return e.ID == lost.ID }
	if slices.ContainsFunc(before, wasEntry) {
		s.recordEntryLoss(m, lost.ID, before)
	}
}
