package shards

import "time"

// callAttempts is the outcome of the attempts at one call so far.
type callAttempts struct {
	last Result
	// unknown reports that an attempt may have had an effect, or may still have one.
	unknown bool
}

// record adds the result of an attempt.
func (a *callAttempts) record(r Result) {
	a.last = r
	a.unknown = a.unknown || r.Outcome == OutcomeUnknown
}

// shouldRetry reports whether another attempt is worthwhile, given the time that the call has
// taken. A call does not wait for something known to be unavailable, such as a store that
// does not answer.
func (a *callAttempts) shouldRetry(elapsed time.Duration) bool {
	switch a.last.Outcome {
	case OutcomeUnknown:
		return true
	case OutcomeUnavailable:
		return a.last.Changing && (a.unknown || elapsed < ownerChangeWait)
	}
	return false
}

// outcome returns the answer to the caller. After an attempt with an unknown outcome, a later
// refusal proves nothing: the first owner may still accept the job, and the caller must not
// be told that it never runs.
func (a *callAttempts) outcome() Result {
	if a.unknown && (a.last.Outcome == OutcomeRefused || a.last.Outcome == OutcomeUnavailable) {
		return Result{Outcome: OutcomeUnknown, Reason: "an earlier attempt was not answered; then: " + a.last.Reason, Notice: a.last.Notice}
	}
	return a.last
}
