// Package fold defines the types shared by all parts of the fold, which applies
// the records of the log to the replicated state: a record's metadata, and the
// verdict whether it took effect. Each part of the state (manifest, lease,
// members, pools, tasks, idempotency keys) gets a Meta with a record's body and
// returns a Verdict. Package fleetlog calls them, for each record in log order.
//
// The fold is deterministic: given the same records in the same order, every
// process reaches the same state and the same verdicts. Invariants are therefore
// enforced by the fold and not by the writers of records.
package fold

// Reason is the machine-readable cause of a verdict. Values are stable: they
// appear in dumps, in explain and in metrics.
type Reason string

// Reasons used by more than one part of the fold. Each part adds its own.
const (
	// ReasonOK marks an accepted record.
	ReasonOK Reason = "ok"
	// ReasonDuplicate marks a record whose id has been applied already: the
	// response to an append was lost and the writer retried.
	ReasonDuplicate Reason = "duplicate"
	// ReasonStaleEpoch marks a planner record whose epoch is not the current
	// one: its author was paused until its lease expired.
	ReasonStaleEpoch Reason = "stale_epoch"
	// ReasonMalformed marks a record that can't be decoded.
	ReasonMalformed Reason = "malformed"
	// ReasonUnknownInstance marks a record about an instance that is not in the
	// folded state.
	ReasonUnknownInstance Reason = "unknown_instance"
	// ReasonWrongPhase marks a record that the current phase of its instance
	// does not allow, such as a commit of a move that has not begun.
	ReasonWrongPhase Reason = "wrong_phase"
	// ReasonOverBudget marks a drain or move that would take a service below its
	// availability budget.
	ReasonOverBudget Reason = "over_budget"
)

// Verdict is the result of applying a record.
type Verdict struct {
	Accepted bool   `json:"accepted"`
	Reason   Reason `json:"reason"`
	// Detail is for display only; no decision depends on it.
	Detail string `json:"detail,omitempty"`
}

// Accept returns the verdict for a record that took effect.
func Accept() Verdict { return Verdict{Accepted: true, Reason: ReasonOK} }

// Reject returns the verdict for a record that was not applied.
func Reject(reason Reason, detail string) Verdict {
	return Verdict{Reason: reason, Detail: detail}
}

// Meta holds a record's position in the log and its author.
type Meta struct {
	// Offset is the record's position in the log.
	Offset uint64
	// TimeMillis is the append time set by the log service, in Unix milliseconds.
	// It is part of the log and hence the same for every reader; the fold reads
	// no other clock.
	TimeMillis int64
	// Author is the id of the process that wrote the record.
	Author string
	// Epoch is the epoch of the author's planner lease, 0 for other authors.
	Epoch uint64
}
