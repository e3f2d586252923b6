package shards

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/routing"
)

// submissionOf returns a submission of an account. A job of 100 ms has an objective of 200 ms plus slack.
func submissionOf(id, account string, slack time.Duration) SubmitCall {
	return SubmitCall{Pool: "pool", Job: jobs.Job{ID: id, Steps: []jobs.Step{{Count: 1, CPUMilli: 4000, EstimateMs: 100}}},
		Acceptance: executor.Accepting{Queue: "q", Account: account, Terms: routing.Terms{Attempts: 3, SlowdownFactor: 2, Slack: slack}}}
}

func startOverloadedRunner(ctx context.Context, g *WithT, journal *memoryJournal, on bool) (*Runner, chan struct{}) {
	limits := executor.Limits{Lease: 3 * time.Second, ProofAge: 4 * time.Second, KeepEnded: time.Minute, StopTimeout: time.Second, OverloadControl: on}
	return startRunner(ctx, g, journal, &fakeEndpoint{started: map[string]int{}}, limits)
}

// Guards against a gate that refuses a repetition of a job that was accepted, or is in flight to the
// store or waits to be decided on, and against an owner that answers with an old proof of its epoch.
func TestTheOwnerKnowsWhatItHasAcceptedOrIsAccepting(t *testing.T) {
	g := NewWithT(t)
	journal := &memoryJournal{}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startOverloadedRunner(ctx, g, journal, true)
	defer func() {
		cancel()
		<-ended
	}()
	known := func() []string {
		var out KnownResult
		g.Eventually(func() bool {
			out = r.known(ctx, KnownCall{IDs: []string{"00000000000000c1", "00000000000000c2", "00000000000000c3", "00000000000000c4"}})
			return out.Answered
		}, 10*time.Second).Should(BeTrue())
		return out.Known
	}
	g.Expect(r.submit(ctx, submissionOf("00000000000000c1", "a", 5*time.Second)).Outcome).To(Equal(OutcomeDone))
	journal.setDelay(300 * time.Millisecond)
	gaveUp, giveUp := context.WithTimeout(ctx, 100*time.Millisecond)
	defer giveUp()
	g.Expect(r.submit(gaveUp, submissionOf("00000000000000c2", "a", 5*time.Second)).Outcome).To(Equal(OutcomeUnknown))
	r.arriving.add("00000000000000c3")
	g.Expect(known()).To(ConsistOf("00000000000000c1", "00000000000000c2", "00000000000000c3"))
	r.arriving.remove("00000000000000c3")
	g.Expect(known()).To(ConsistOf("00000000000000c1", "00000000000000c2"))

	journal.setDelay(4 * knownProofAge)
	go r.submit(ctx, submissionOf("00000000000000c5", "a", 5*time.Second))
	g.Eventually(func() bool { return r.known(ctx, KnownCall{}).Answered }, 10*time.Second).Should(BeFalse())
	journal.setDelay(0)
}

// Guards against a refusal of a job whose submission waits in a queue of its owner, behind the question.
func TestSubmissionsAreArrivingUntilTheyAreAnswered(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startOverloadedRunner(ctx, g, &memoryJournal{}, true)
	defer func() {
		cancel()
		<-ended
	}()
	blocked, answered := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(blocked) })
	defer release()
	g.Expect(r.post(func(time.Duration) { <-blocked })).To(BeTrue())
	go func() {
		defer close(answered)
		r.submit(ctx, submissionOf("00000000000000c1", "a", 5*time.Second))
	}()
	g.Eventually(func() bool { return r.arriving.contains("00000000000000c1") }, 10*time.Second).Should(BeTrue())
	release()
	<-answered
	g.Expect(r.arriving.contains("00000000000000c1")).To(BeFalse())
}

// Guards against notices that count what says nothing about the load: repetitions, and refusals that
// would be given at any load; and against reports of nodes that are lost or counted twice.
func TestNoticesFollowFromDecisionsOnNewJobs(t *testing.T) {
	g := NewWithT(t)
	r := &Runner{core: executor.New("tabs", 1, executor.Limits{OverloadControl: true}, 0), meter: admission.NewMeter(1), metered: map[uint64]admission.MeterClass{}, now: func() time.Duration { return 0 }}
	const token = 1
	admitAfter := func(refusedAtNode int, known bool, verdict executor.Verdict, reason string) float64 {
		in := submissionOf("00000000000000d0", "a", 0)
		in.Refused = refusedAtNode
		r.meterSubmission(0, token, in, known, verdict, executor.Refusal{Reason: reason, RetryAfter: time.Second})
		result := r.withNotice(token, Result{})
		g.Expect(r.metered).To(BeEmpty())
		return result.Notice.Admit
	}
	g.Expect(admitAfter(0, false, executor.VerdictRefused, executor.RefusedIDTaken)).To(Equal(1.0))
	g.Expect(admitAfter(0, false, executor.VerdictRefused, executor.RefusedBacklog)).To(Equal(0.05))
	g.Expect(admitAfter(0, true, executor.VerdictDuplicate, "")).To(Equal(0.05))
	g.Expect(admitAfter(0, true, executor.VerdictAccepted, "")).To(Equal(0.05))
	g.Expect(admitAfter(0, false, executor.VerdictAccepted, "")).To(Equal(0.75))
	g.Expect(admitAfter(8, true, executor.VerdictDuplicate, "")).To(Equal(0.15))
	g.Expect(r.withNotice(token, Result{}).Notice).To(BeNil())
}

// Guards against results and answers without the notices of their classes.
func TestResultsAndAnswersCarryNotices(t *testing.T) {
	g := NewWithT(t)
	journal := &memoryJournal{}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startOverloadedRunner(ctx, g, journal, true)
	accepted := r.submit(ctx, submissionOf("00000000000000d0", "a", 5*time.Second))
	g.Expect(accepted.Notice).To(HaveValue(Equal(admission.Notice{Epoch: r.epoch, Version: 1, Admit: 1})))
	answer := r.known(ctx, KnownCall{Classes: []ClassReport{{Account: "a"}, {Account: "b"}}})
	g.Expect(answer.Notices).To(HaveLen(2))
	cancel()
	<-ended
	g.Expect(r.submit(context.Background(), submissionOf("00000000000000d1", "a", 0)).Notice).To(BeNil(), "the owner changes")
}

// Guards against notices and answers where overload control is off.
func TestWithoutOverloadControlThereAreNoNotices(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startOverloadedRunner(ctx, g, &memoryJournal{}, false)
	g.Expect(r.submit(ctx, submissionOf("00000000000000d0", "a", 5*time.Second)).Notice).To(BeNil())
	g.Expect(r.known(ctx, KnownCall{}).Answered).To(BeFalse())
	cancel()
	<-ended
	g.Expect(r.known(context.Background(), KnownCall{}).Answered).To(BeFalse())
}

// Guards against a call for each refusal, calls beyond the bound of ids, and several calls at a time.
func TestQuestionsOfAPoolShareCalls(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex // held by the call in flight
	var sizes []int
	reported := 0
	started, proceed := make(chan struct{}, 100), make(chan struct{})
	ask := func(in KnownCall) KnownResult {
		g.Expect(mu.TryLock()).To(BeTrue(), "another call is in flight")
		defer mu.Unlock()
		g.Expect(in.Classes).To(HaveLen(1))
		reported += in.Classes[0].Refused
		sizes = append(sizes, len(in.IDs))
		started <- struct{}{}
		<-proceed
		return KnownResult{Answered: true, Known: []string{"7"}, Notices: []admission.Notice{{Version: 3}}}
	}
	var k knownQuestions
	var questions []*waitingQuestion
	add := func() bool {
		q := &waitingQuestion{KnownQuestion: KnownQuestion{Pool: "p", ID: fmt.Sprint(len(questions)), Refused: 2}, ctx: context.Background(), answer: make(chan KnownAnswer, 1)}
		questions = append(questions, q)
		return k.add(q, ask)
	}
	g.Expect(add()).To(BeTrue())
	<-started // the others wait for the answer to the first
	for range maxKnownWaiting {
		g.Expect(add()).To(BeTrue())
	}
	g.Expect(add()).To(BeFalse())
	close(proceed)
	for i, q := range questions[:1+maxKnownWaiting] {
		g.Expect(<-q.answer).To(Equal(KnownAnswer{Answered: true, Known: i == 7, Notice: admission.Notice{Version: 3}}))
	}
	g.Eventually(func() int {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.waiting)
	}, 10*time.Second).Should(BeZero())
	g.Expect(sizes).To(Equal([]int{1, maxKnownIDs, maxKnownIDs, maxKnownIDs, maxKnownIDs}))
	g.Expect(reported).To(Equal(2 * (1 + maxKnownWaiting)))
}

// Guards against a refusal on an answer that does not fit its question, such as that of another version.
func TestAnAnswerWithoutAllNoticesIsNone(t *testing.T) {
	g := NewWithT(t)
	q := &waitingQuestion{KnownQuestion: KnownQuestion{ID: "1"}, answer: make(chan KnownAnswer, 1)}
	deliverKnown([]*waitingQuestion{q}, callOf("p", []*waitingQuestion{q}), KnownResult{Answered: true})
	g.Expect((<-q.answer).Answered).To(BeFalse())
}

// Guards against calls and answers above the size limit, after which nodes would refuse nothing.
func TestLargestKnownCallAndAnswerFit(t *testing.T) {
	g := NewWithT(t)
	var in KnownCall
	out := KnownResult{Answered: true}
	for i := range maxKnownIDs {
		in.IDs = append(in.IDs, fmt.Sprintf("%016x", i))
		in.Classes = append(in.Classes, ClassReport{Priority: 9, Account: fmt.Sprintf("account-with-a-name-of-100-characters-%063d", i), Refused: 1 << 20})
		out.Notices = append(out.Notices, admission.Notice{Epoch: 1 << 40, Version: 1 << 40, Admit: 0.123, WaitMs: 1 << 20, RetryAfterMs: 3000})
	}
	out.Known = in.IDs
	for _, message := range []any{in, out} {
		data, err := cbor.Marshal(message)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(data)).To(BeNumerically("<", peer.MaxOrdinary))
	}
}
