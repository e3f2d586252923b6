package shards

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func outcomeAfter(results ...Result) Result {
	var history callAttempts
	for _, r := range results {
		history.record(r)
	}
	return history.outcome()
}

// Guards against a caller that is told that its job was not accepted while the job runs. Its
// first owner was sent the job and did not answer; the second refused it while it was still
// in flight to the first.
func TestARefusalAfterAnUnansweredAttemptIsUnknown(t *testing.T) {
	g := NewWithT(t)
	unknown, refused := Result{Outcome: OutcomeUnknown}, Result{Outcome: OutcomeRefused, RetryAfterMs: 1000}
	unavailable := Result{Outcome: OutcomeUnavailable}
	g.Expect(outcomeAfter(refused).Outcome).To(Equal(OutcomeRefused))
	g.Expect(outcomeAfter(unavailable, refused).Outcome).To(Equal(OutcomeRefused))
	g.Expect(outcomeAfter(unknown, refused).Outcome).To(Equal(OutcomeUnknown))
	g.Expect(outcomeAfter(unknown, unavailable, refused).Outcome).To(Equal(OutcomeUnknown))
	g.Expect(outcomeAfter(unknown, unavailable).Outcome).To(Equal(OutcomeUnknown))
	g.Expect(outcomeAfter(unknown, Result{Outcome: OutcomeDone}).Outcome).To(Equal(OutcomeDone))
}

// An orderly change of owner takes some 50 ms, and callers wait for it. A store that does not
// answer is unavailable for seconds, and callers are told at once.
func TestOnlyAChangeOfOwnerIsRetried(t *testing.T) {
	g := NewWithT(t)
	changing, unavailable := callAttempts{last: resultNotOwner}, callAttempts{last: Result{Outcome: OutcomeUnavailable}}
	g.Expect(changing.shouldRetry(0)).To(BeTrue())
	g.Expect(changing.shouldRetry(ownerChangeWait + time.Millisecond)).To(BeFalse())
	g.Expect(unavailable.shouldRetry(0)).To(BeFalse())
	for _, final := range []Outcome{OutcomeDone, OutcomeRefused, OutcomeNotFound} {
		done := callAttempts{last: Result{Outcome: final}}
		g.Expect(done.shouldRetry(0)).To(BeFalse(), final.String())
	}
}
