package shards

import "time"

// tries is what became of the attempts at one call so far.
type tries struct {
	last Result
	// unknown reports that an attempt may have had an effect, or may still have one.
	unknown bool
}

// take takes in the result of an attempt.
func (t *tries) take(r Result) {
	t.last = r
	t.unknown = t.unknown || r.Outcome == OutcomeUnknown
}

// again reports whether another attempt is worth its while, after the time that
// the call has taken. What is known to be away, as a store that doesn't answer, is
// not waited for.
func (t *tries) again(taken time.Duration) bool {
	switch t.last.Outcome {
	case OutcomeUnknown:
		return true
	case OutcomeUnavailable:
		return t.last.Changing && (t.unknown || taken < handOverWait)
	}
	return false
}

// outcome is the answer to the caller. After an attempt with an unknown outcome a
// later refusal proves nothing: a job that the first owner was sent may be taken in
// yet, and the caller must not be told that it never runs.
func (t *tries) outcome() Result {
	if t.unknown && (t.last.Outcome == OutcomeRefused || t.last.Outcome == OutcomeUnavailable) {
		return Result{Outcome: OutcomeUnknown, Reason: "an earlier attempt was not answered; then: " + t.last.Reason}
	}
	return t.last
}
