package shards

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

var queueTestLimits = executor.Limits{Lease: 3 * time.Second, ProofAge: 20 * time.Second, KeepEnded: time.Minute, StopTimeout: time.Second}

// idleRunner returns a runner that handles nothing.
func idleRunner(ctx context.Context) *Runner {
	r := newRunner(NewManager(Options{Logger: slog.New(slog.DiscardHandler)}), "pool")
	r.ctx = ctx
	return r
}

// refuseAfter returns a decision that takes some time and counts itself.
func refuseAfter(d time.Duration, decided *atomic.Int64) func(time.Duration, uint64) (Result, bool) {
	return func(time.Duration, uint64) (Result, bool) {
		time.Sleep(d)
		decided.Add(1)
		return Result{Outcome: OutcomeRefused}, true
	}
}

// flood keeps 5,000 submissions at the runner until the returned function is called, which returns
// how many answers of each outcome they got.
func flood(r *Runner, decide func(time.Duration, uint64) (Result, bool)) (stop func() map[Outcome]int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[Outcome]int{}
	ended := make(chan struct{})
	for range 5000 {
		wg.Go(func() {
			for {
				result := r.requestQueued(context.Background(), 1, decide)
				mu.Lock()
				answers[result.Outcome]++
				mu.Unlock()
				select {
				case <-ended:
					return
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
	return func() map[Outcome]int {
		close(ended)
		wg.Wait()
		return answers
	}
}

// Guards against leases that run out and cancels that time out behind a flood of submissions.
func TestOtherMessagesWaitForOneBatchOfSubmissionsAtMost(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunner(ctx, g, &memoryJournal{}, &fakeEndpoint{started: map[string]int{}}, queueTestLimits)
	var decided atomic.Int64
	stop := flood(r, refuseAfter(50*time.Microsecond, &decided))
	g.Eventually(decided.Load, 10*time.Second).Should(BeNumerically(">", 2*maxSubmissionsPerRound))
	for range 20 {
		before, handledAt := decided.Load(), make(chan int64, 2)
		g.Expect(r.post(func(time.Duration) { handledAt <- decided.Load() })).To(BeTrue(), "the answer to a renewal")
		r.request(ctx, func(time.Duration, uint64) (Result, bool) { // as cancels are requested
			handledAt <- decided.Load()
			return Result{Outcome: OutcomeDone}, true
		})
		g.Expect(<-handledAt - before).To(BeNumerically("<=", maxSubmissionsPerRound))
		g.Expect(<-handledAt-before).To(BeNumerically("<=", 2*maxSubmissionsPerRound), "sent after the first")
	}
	answers := stop()
	g.Expect(answers[OutcomeUnavailable]).To(BeNumerically(">", 0), "the queue must have been full")
	cancel()
	<-ended
}

// Guards against submissions that are never decided because other messages keep arriving.
func TestSubmissionsAreDecidedWhileTheInboxIsNeverEmpty(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunner(ctx, g, &memoryJournal{}, &fakeEndpoint{started: map[string]int{}}, queueTestLimits)
	var again func(time.Duration)
	again = func(time.Duration) { r.post(again) }
	r.post(again)
	var decided atomic.Int64
	limit, stop := context.WithTimeout(ctx, 10*time.Second)
	defer stop()
	g.Expect(r.requestQueued(limit, 1, refuseAfter(0, &decided)).Outcome).To(Equal(OutcomeRefused))
	cancel()
	<-ended
}

// Guards against callers that wait for their deadline at an owner that cannot take their jobs.
func TestAFullQueueAnswersAtOnce(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := idleRunner(ctx)
	for range maxWaitingSubmissions {
		_, ok := r.submissions.push(&submission{ctx: ctx, answer: make(chan Result, 1)})
		g.Expect(ok).To(BeTrue())
	}
	answer := r.submit(ctx, SubmitCall{}) // nothing handles the queue
	g.Expect(answer).To(Equal(Result{Outcome: OutcomeUnavailable, Reason: "the pool's owner is busy", RetryAfterMs: 1000}))
}

// Guards against a caller that is told that its job was not accepted while it runs: the caller's
// time ends as the submission is decided.
func TestAnExpiredSubmissionIsNeverAccepted(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunner(ctx, g, &memoryJournal{delay: 5 * time.Millisecond}, &fakeEndpoint{started: map[string]int{}}, queueTestLimits)
	var wg sync.WaitGroup
	var expired atomic.Int64
	for i := range 2000 {
		wg.Go(func() {
			limit, stop := context.WithTimeout(ctx, time.Duration(i%100)*400*time.Microsecond)
			defer stop()
			var accepted atomic.Bool
			result := r.requestQueued(limit, 1, func(now time.Duration, token uint64) (Result, bool) {
				time.Sleep(50 * time.Microsecond)
				accepted.Store(true)
				return Result{Outcome: OutcomeDone}, true
			})
			if result.Outcome == OutcomeUnavailable {
				expired.Add(1)
				time.Sleep(100 * time.Millisecond)
				g.Expect(accepted.Load()).To(BeFalse(), result.Reason)
			}
		})
	}
	wg.Wait()
	g.Expect(expired.Load()).To(BeNumerically(">", 0))
	cancel()
	<-ended
}

// Guards against an answer "outcome unknown" for a submission that certainly had no effect, and
// against a decision on a submission whose caller has gone.
func TestASubmissionThatExpiresInTheQueueHasACertainAnswer(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := idleRunner(ctx)
	limit, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	g.Expect(r.submit(limit, SubmitCall{})).To(Equal(resultTooLate))
	<-limit.Done()
	late := &submission{ctx: limit, answer: make(chan Result, 1)}
	_, ok := r.submissions.push(late)
	g.Expect(ok).To(BeTrue())
	r.handleSubmissions()
	g.Expect(late.answer).To(Receive(Equal(resultTooLate)))
}

// Guards against callers that wait for an owner that has ended, and against an answer "not
// accepted" for a job that its successor finds in the journal.
func TestARunnerThatEndsAnswersEveryWaitingSubmission(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	journal := &memoryJournal{delay: 20 * time.Millisecond}
	r, ended := startRunner(ctx, g, journal, &fakeEndpoint{started: map[string]int{}}, queueTestLimits)
	const submitters = 300
	outcomes := make(chan Result, submitters)
	under := executor.Accepting{Queue: "q", Terms: routing.Terms{Attempts: 3, SlowdownFactor: 2, Slack: time.Minute}}
	for i := range submitters {
		go func() {
			job := jobs.Job{ID: jobID(i), Steps: []jobs.Step{{Count: 1, CPUMilli: 500, EstimateMs: 1}}}
			result := r.submit(context.Background(), SubmitCall{Job: job, Acceptance: under})
			if result.Outcome == OutcomeUnavailable && journal.count("j"+job.ID) > 0 {
				result.Reason = "stored"
			}
			outcomes <- result
		}()
	}
	time.Sleep(10 * time.Millisecond)
	cancel()
	g.Eventually(ended, 10*time.Second).Should(BeClosed())
	for range submitters {
		var result Result
		g.Eventually(outcomes, 10*time.Second).Should(Receive(&result))
		g.Expect(result.Reason).NotTo(Equal("stored"))
	}
	g.Expect(r.submit(context.Background(), SubmitCall{Acceptance: under})).To(Equal(resultOwnerChanging))
}

func jobID(i int) string { return fmt.Sprintf("%016x", 0x5000+i) }

// Guards against submissions that wait for the next tick of an idle owner although it could decide
// them at once.
func TestRoundsFollowEachOtherWhileSubmissionsWait(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunner(ctx, g, &memoryJournal{}, &fakeEndpoint{started: map[string]int{}}, queueTestLimits)
	var decided atomic.Int64
	for range maxWaitingSubmissions {
		_, ok := r.submissions.push(&submission{ctx: ctx, answer: make(chan Result, 1), decide: refuseAfter(0, &decided)})
		g.Expect(ok).To(BeTrue())
	}
	rounds := maxWaitingSubmissions / maxSubmissionsPerRound
	g.Eventually(decided.Load, time.Duration(rounds/2)*idleTick, time.Millisecond).Should(Equal(int64(maxWaitingSubmissions)))
	cancel()
	<-ended
}

// Guards against large submissions whose decoded jobs exceed the owner's memory while they wait, although
// there are few; and against one that is never taken because it is large.
func TestLargeSubmissionsWaitWithinABound(t *testing.T) {
	g := NewWithT(t)
	q := newSubmissionQueue()
	push := func(bytes int) bool {
		_, ok := q.push(&submission{ctx: context.Background(), bytes: bytes, answer: make(chan Result, 1)})
		return ok
	}
	g.Expect(push(2*maxWaitingBytes)).To(BeTrue(), "nothing else waits")
	g.Expect(push(1)).To(BeFalse())
	g.Expect(q.take()).NotTo(BeNil())
	for range 4 {
		g.Expect(push(maxWaitingBytes / 4)).To(BeTrue())
	}
	g.Expect(push(maxWaitingBytes / 4)).To(BeFalse())
	g.Expect(q.withdraw(q.waiting[0])).To(BeTrue())
	g.Expect(push(maxWaitingBytes / 4)).To(BeTrue())
}
