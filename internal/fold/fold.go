// Package fold holds the few types that every part of the fold shares: where a
// record stands in the log, and the verdict on it.
//
// The fold is deterministic. Given the same records in the same order, every
// process reaches the same state and the same verdicts, so the rule of an
// invariant lives here and not in whoever wrote the record.
package fold

// Reason is the machine-readable cause of a verdict. Values are stable: they
// appear in dumps, in explain and in metrics.
type Reason string

// Reasons that more than one part of the fold gives. Each part adds its own.
const (
	// ReasonOK marks an accepted record.
	ReasonOK Reason = "ok"
	// ReasonDuplicate marks a record whose id has been folded already: an
	// append whose answer was lost and that was therefore sent again.
	ReasonDuplicate Reason = "duplicate"
	// ReasonStaleEpoch marks a planner record of an epoch that is not the
	// current one: its author was paused past its lease.
	ReasonStaleEpoch Reason = "stale_epoch"
	// ReasonMalformed marks a record that does not decode.
	ReasonMalformed Reason = "malformed"
	// ReasonUnknownInstance marks a record about an instance that the fold
	// does not know.
	ReasonUnknownInstance Reason = "unknown_instance"
	// ReasonWrongPhase marks a record that the present phase of its subject
	// does not allow, such as a commit of a move that never began.
	ReasonWrongPhase Reason = "wrong_phase"
	// ReasonOverBudget marks a drain or move that would leave a service with
	// less than its availability budget.
	ReasonOverBudget Reason = "over_budget"
)

// Verdict is what the fold says of one record.
type Verdict struct {
	Accepted bool   `json:"accepted"`
	Reason   Reason `json:"reason"`
	// Detail is for people; nothing is decided by it.
	Detail string `json:"detail,omitempty"`
}

// Accept is the verdict on a record that took effect.
func Accept() Verdict { return Verdict{Accepted: true, Reason: ReasonOK} }

// Reject is the verdict on a record that changed nothing.
func Reject(reason Reason, detail string) Verdict {
	return Verdict{Reason: reason, Detail: detail}
}

// Meta tells where a record stands and who wrote it.
type Meta struct {
	// Offset is the record's place in the log.
	Offset uint64
	// TimeMillis is the log service's own append time in Unix milliseconds. It
	// is part of the log, hence the same for every reader; the fold reads no
	// other clock.
	TimeMillis int64
	// Author is the id of the process that wrote the record.
	Author string
	// Epoch is the planner epoch the author wrote under; 0 for others.
	Epoch uint64
}
