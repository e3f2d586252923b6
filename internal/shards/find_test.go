package shards

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/routing"
)

// configLeading returns a version that leads the queue of the tests to a service.
func configLeading(version int64, service string) *routing.Config {
	return &routing.Config{Version: version, Queues: []routing.Queue{{Name: "q", Host: "a.example", Prefix: "/a/", Service: service}}}
}

// startPool starts a pool's owner, which ends with the test.
func startPool(t *testing.T, g *WithT) (context.Context, *Runner, *memoryJournal) {
	journal := &memoryJournal{}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startOverloadedRunner(ctx, g, journal, false)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return ctx, r, journal
}

// Guards against a job that two pools accept: an owner denies that it has accepted a job, by a configuration
// by which it still accepts it, or before its submission has been decided, and accepts it afterwards.
func TestAJobThatIsNotFoundIsNotAcceptedAnyMore(t *testing.T) {
	g := NewWithT(t)
	ctx, r, _ := startPool(t, g)
	var inForce atomic.Pointer[routing.Config]
	inForce.Store(configLeading(7, "pool"))
	r.config = inForce.Load
	address := routing.Address{Host: "a.example", Prefix: "/a/"}
	find := func(id string) Result {
		return r.find(ctx, FindCall{JobCall: JobCall{Pool: "pool", ID: id, By: executor.Caller{Queue: "q", Account: "a"}}, Version: 9})
	}
	submission := func(id string) SubmitCall {
		in := submissionOf(id, "a", 5*time.Second)
		in.Address = address
		return in
	}
	g.Expect(r.submit(ctx, submission("00000000000000d1")).Outcome).To(Equal(OutcomeDone))
	g.Expect(find("00000000000000d2")).To(Equal(resultOlderConfig), "a submission by version 7 may still come")

	inForce.Store(configLeading(9, "another"))
	g.Expect(find("00000000000000d1").Outcome).To(Equal(OutcomeDone))
	r.arriving.add("00000000000000d2")
	g.Expect(find("00000000000000d2").Outcome).To(Equal(OutcomeUnknown))
	r.arriving.remove("00000000000000d2")
	g.Expect(find("00000000000000d2").Outcome).To(Equal(OutcomeNotFound))
	g.Expect(r.submit(ctx, submission("00000000000000d2"))).To(Equal(resultLedElsewhere))
	g.Expect(r.submit(ctx, submission("00000000000000d1")).Outcome).To(Equal(OutcomeDone), "a repetition")
	g.Expect(r.find(ctx, FindCall{JobCall: JobCall{ID: "00000000000000d1", By: executor.Caller{Account: "b"}}, Version: 9}).Outcome).To(Equal(OutcomeRefused))

	byOlderNode := JobCall{ID: "00000000000000d2", Address: address}
	g.Expect(r.state(ctx, byOlderNode)).To(Equal(resultLedElsewhere), "another pool may have it")
	g.Expect(r.cancelJob(ctx, byOlderNode)).To(Equal(resultLedElsewhere))
	g.Expect(r.state(ctx, JobCall{ID: "00000000000000d2"}).Outcome).To(Equal(OutcomeNotFound))
}

// Guards against a former owner that denies a job which its successor has accepted, as it wakes: no append of
// its own has succeeded since the question. A DELETE that it denies leaves the job running.
func TestThatAJobIsNotFoundNeedsAProof(t *testing.T) {
	g := NewWithT(t)
	ctx, r, journal := startPool(t, g)
	r.config = func() *routing.Config { return configLeading(9, "another") }
	in := FindCall{JobCall: JobCall{Pool: "pool", ID: "00000000000000d1"}, Version: 9}
	for name, ask := range map[string]func(context.Context) Result{
		"find":   func(ctx context.Context) Result { return r.find(ctx, in) },
		"state":  func(ctx context.Context) Result { return r.state(ctx, in.JobCall) },
		"cancel": func(ctx context.Context) Result { return r.cancelJob(ctx, in.JobCall) },
	} {
		journal.setDelay(0)
		g.Expect(ask(ctx).Outcome).To(Equal(OutcomeNotFound), name)
		journal.setDelay(time.Second)
		short, stop := context.WithTimeout(ctx, 200*time.Millisecond)
		g.Expect(ask(short).Outcome).To(Equal(OutcomeUnknown), name)
		stop()
	}
}

// Guards against a former owner that denies, as it wakes, that jobs wait which its successor has accepted.
func TestACountOfWaitingJobsNeedsARecentProof(t *testing.T) {
	g := NewWithT(t)
	ctx, r, journal := startPool(t, g)
	g.Expect(r.pending(ctx, "q").Outcome).To(Equal(OutcomeDone))
	journal.setDelay(4 * knownProofAge)
	g.Eventually(r.tenure.ProofAge, 10*time.Second).Should(BeNumerically(">", knownProofAge))
	short, stop := context.WithTimeout(ctx, knownProofAge/2)
	defer stop()
	g.Expect(r.pending(short, "q").Outcome).To(Equal(OutcomeUnknown))
}
