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

// Applied is one record with the verdict on it.
type Applied struct {
	Offset  uint64
	Record  Record
	Verdict fold.Verdict
	// Keys is set for records of idempotency keys.
	Keys *KeysApplied
	// Entries is set where the record changed the members: the entries from
	// this offset on.
	Entries []idempotency.Member
}

// Apply folds the next record of the log. entry.Offset must be s.Offset+1; the
// Replica sees to that. Apply is deterministic: it reads no clock, and nothing
// but s and entry.
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
	s.count(rec.Kind, out.Verdict.Reason)
	return out
}

// count keeps the totals that dumps show. Kinds that are not known share one
// row, or any writer could make every process's state grow.
func (s *State) count(k Kind, reason fold.Reason) {
	if !k.Known() {
		k = "unknown"
	}
	s.Counts[string(k)+"/"+string(reason)]++
}

// dispatch hands the record to the part of the state that owns its kind.
func (s *State) dispatch(m fold.Meta, rec Record, out *Applied) fold.Verdict {
	if needsPlanner(rec.Kind) && !s.Lease.Current(m.Epoch) {
		return fold.Reject(fold.ReasonStaleEpoch, "holder is "+s.Lease.Holder)
	}
	switch rec.Kind {
	case KindPublish:
		return apply(rec, func(b manifest.Publish) fold.Verdict { return s.applyPublish(m, b) })
	case KindLeaseClaim:
		return apply(rec, func(b planlease.Claim) fold.Verdict { return s.Lease.ApplyClaim(m, b) })
	case KindLeaseRenew:
		return apply(rec, func(b planlease.Renew) fold.Verdict { return s.Lease.ApplyRenew(m, b) })
	case KindLeaseRelease:
		return apply(rec, func(b planlease.Release) fold.Verdict { return s.Lease.ApplyRelease(m, b) })
	case KindJoin:
		return apply(rec, func(b membership.Join) fold.Verdict { return s.applyJoin(m, b) })
	case KindLeave:
		return apply(rec, func(b membership.Leave) fold.Verdict { return s.applyLeave(m, b) })
	case KindSeen:
		return apply(rec, func(b pools.Seen) fold.Verdict { return s.Pools.ApplySeen(m, b) })
	case KindDown:
		return apply(rec, func(b pools.Down) fold.Verdict { return s.Pools.ApplyDown(m, b) })
	case KindForget:
		return apply(rec, func(b pools.Forget) fold.Verdict { return s.Pools.ApplyForget(m, b) })
	case KindBegin:
		return apply(rec, func(b pools.Begin) fold.Verdict { return s.Pools.ApplyBegin(m, b, &s.Manifest) })
	case KindCommit:
		return apply(rec, func(b pools.Commit) fold.Verdict { return s.Pools.ApplyCommit(m, b) })
	case KindTasks:
		return apply(rec, func(b placement.Tasks) fold.Verdict {
			return s.Tasks.Apply(m, b, s.Manifest.Current(), s.Pools.Instances)
		})
	case KindKeyClaim:
		return apply(rec, func(b idempotency.ClaimBatch) (v fold.Verdict) {
			v, out.Keys = s.applyClaims(m, b)
			return v
		})
	case KindKeyFinish:
		return apply(rec, func(b idempotency.FinishBatch) (v fold.Verdict) {
			v, out.Keys = s.applyFinishes(m, b)
			return v
		})
	case KindMark:
		return apply(rec, func(b Mark) fold.Verdict { return s.applyMark(m, b) })
	case KindPart:
		// Parts are read by processes that start; they change no state.
		return fold.Accept()
	}
	return fold.Reject(ReasonUnknownKind, string(rec.Kind))
}

// ReasonUnknownKind marks a record of a kind that this version does not know.
const ReasonUnknownKind fold.Reason = "unknown_kind"

// needsPlanner lists the kinds that only the holder of the planner lease may
// write. Checking it in the fold is what stops a planner that was frozen past
// its lease: it may append, but nothing of it takes effect.
func needsPlanner(k Kind) bool {
	switch k {
	case KindSeen, KindDown, KindForget, KindBegin, KindCommit, KindTasks:
		return true
	}
	return false
}

func apply[T any](rec Record, f func(T) fold.Verdict) fold.Verdict {
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
	s.memberLost(m, lost, before)
	return v
}

func (s *State) applyLeave(m fold.Meta, b membership.Leave) fold.Verdict {
	before := s.Entries()
	v, lost := s.Members.ApplyLeave(m, b, s.Lease.Current(m.Epoch))
	s.memberLost(m, lost, before)
	return v
}

// memberLost is told of a process that ended without a graceful leave.
func (s *State) memberLost(m fold.Meta, lost *membership.Lost, before []idempotency.Member) {
	if lost == nil {
		return
	}
	wasEntry := func(e idempotency.Member) bool { return e.ID == lost.ID }
	if slices.ContainsFunc(before, wasEntry) {
		s.entryLost(m, lost.ID, before)
	}
}
