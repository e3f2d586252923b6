package shards

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func afterAll(results ...Result) Result {
	var t tries
	for _, r := range results {
		t.take(r)
	}
	return t.outcome()
}

// A caller is told that its job was not accepted, and the job runs. Its first
// owner was sent the job and did not answer; the second refused it, while it was
// still on its way to the first.
func TestARefusalAfterAnUnansweredAttemptIsNoRefusal(t *testing.T) {
	g := NewWithT(t)
	unknown, refused := Result{Outcome: OutcomeUnknown}, Result{Outcome: OutcomeRefused, RetryAfterMs: 1000}
	away := Result{Outcome: OutcomeUnavailable}
	g.Expect(afterAll(refused).Outcome).To(Equal(OutcomeRefused))
	g.Expect(afterAll(away, refused).Outcome).To(Equal(OutcomeRefused))
	g.Expect(afterAll(unknown, refused).Outcome).To(Equal(OutcomeUnknown))
	g.Expect(afterAll(unknown, away, refused).Outcome).To(Equal(OutcomeUnknown))
	g.Expect(afterAll(unknown, away).Outcome).To(Equal(OutcomeUnknown))
	g.Expect(afterAll(unknown, Result{Outcome: OutcomeDone}).Outcome).To(Equal(OutcomeDone))
}

// A pool changes hands in order, within some 50 ms: its callers wait for that. A
// store that does not answer is away for seconds: its callers are told at once.
func TestOnlyAChangeOfOwnerIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	changing, stuck := tries{last: notOwner}, tries{last: Result{Outcome: OutcomeUnavailable}}
	g.Expect(changing.again(0)).To(BeTrue())
	g.Expect(changing.again(handOverWait + time.Millisecond)).To(BeFalse())
	g.Expect(stuck.again(0)).To(BeFalse())
	for _, final := range []Outcome{OutcomeDone, OutcomeRefused, OutcomeAbsent} {
		done := tries{last: Result{Outcome: final}}
		g.Expect(done.again(0)).To(BeFalse(), final.String())
	}
}
