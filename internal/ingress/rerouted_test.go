package ingress

import (
	"context"
	"log/slog"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/internal/shards"
)

// fakePools are the pools' owners. A pool answers with its outcome; one that is not in outcomes knows no job.
type fakePools struct {
	Calls
	outcomes  map[string]shards.Outcome
	pending   map[string]int
	calls     []string
	submitted []shards.SubmitCall
	found     []shards.FindCall
}

func (f *fakePools) answer(kind, pool string) shards.Result {
	f.calls = append(f.calls, kind+" "+pool)
	outcome, known := f.outcomes[pool]
	if !known {
		outcome = shards.OutcomeNotFound
	}
	return shards.Result{Outcome: outcome, State: executor.JobRunning}
}

func (f *fakePools) Submit(_ context.Context, in shards.SubmitCall) shards.Result {
	f.submitted = append(f.submitted, in)
	return shards.Result{Outcome: shards.OutcomeDone}
}

func (f *fakePools) Find(_ context.Context, in shards.FindCall) shards.Result {
	f.found = append(f.found, in)
	return f.answer("find", in.Pool)
}

func (f *fakePools) State(_ context.Context, in shards.JobCall) shards.Result {
	return f.answer("state", in.Pool)
}

func (f *fakePools) Cancel(_ context.Context, in shards.JobCall) shards.Result {
	return f.answer("cancel", in.Pool)
}

func (f *fakePools) Pending(_ context.Context, in shards.QueueCall) shards.Result {
	return shards.Result{Outcome: shards.OutcomeDone, Pending: f.pending[in.Pool+" "+in.Queue]}
}

var _ = Describe("a queue that a version has led to another pool", func() {
	var (
		pools *fakePools
		i     *Ingress
		q     *routing.Queue
	)
	ctx := context.Background()
	version := func(number int64, name, service string) *routing.Config {
		return &routing.Config{Version: number, Queues: []routing.Queue{{Name: name, Host: "a.example", Prefix: "/a/", Service: service}}}
	}
	submit := func() int { return i.Submit(ctx, q, "acc", jobs.Job{ID: "1"}).Status }

	BeforeEach(func() {
		pools = &fakePools{outcomes: map[string]shards.Outcome{}}
		configs := published.New(published.Options{Changed: func(*routing.Config) {}})
		configs.Put(version(7, "before", "old"))
		configs.Put(version(9, "after", "new"))
		i = New(configs, pools, nil, slog.New(slog.DiscardHandler))
		q = &configs.Config().Queues[0]
	})

	// Guards against a job that runs once in each pool when its submission arrives again.
	It("accepts no job that its earlier pool has accepted", func() {
		pools.outcomes["old"] = shards.OutcomeDone
		Expect(submit()).To(Equal(http.StatusOK))
		Expect(pools.submitted).To(BeEmpty())
		Expect(pools.found).To(HaveExactElements(shards.FindCall{Version: 9,
			JobCall: shards.JobCall{Pool: "old", ID: "1", By: executor.Caller{Queue: "before", Account: "acc"}}}))
	})

	// Guards against a queue that accepts nothing after a version.
	It("accepts a job that its earlier pool does not know", func() {
		Expect(submit()).To(Equal(http.StatusOK))
		Expect(pools.submitted).To(HaveLen(1))
		Expect(pools.submitted[0].Pool).To(Equal("new"))
		Expect(pools.submitted[0].Address).To(Equal(routing.Address{Host: "a.example", Prefix: "/a/"}))
	})

	// Guards against a job that runs twice because its pool could not be asked, and against a caller that is
	// told that a job that runs was not accepted.
	It("tells that the outcome is unknown while its earlier pool can't be asked", func() {
		for _, outcome := range []shards.Outcome{shards.OutcomeUnavailable, shards.OutcomeUnknown} {
			pools.outcomes["old"] = outcome
			Expect(submit()).To(Equal(http.StatusGatewayTimeout))
		}
		Expect(pools.submitted).To(BeEmpty())
	})

	// Guards against jobs that are unknown once a version has led their queue elsewhere.
	It("finds the jobs of its earlier pool", func() {
		pools.outcomes["old"] = shards.OutcomeDone
		state := i.State(ctx, q, "acc", "1")
		Expect(state.Status).To(Equal(http.StatusOK))
		Expect(state.State).To(Equal("running"))
		Expect(i.Cancel(ctx, q, "acc", "1").Status).To(Equal(http.StatusOK))
		Expect(pools.calls).To(HaveExactElements("state new", "state old", "cancel new", "cancel old"))
	})

	// Guards against an answer that there is no such job while a pool that may have it can't be asked.
	It("does not deny a job while its earlier pool can't be asked", func() {
		Expect(i.State(ctx, q, "acc", "1").Status).To(Equal(http.StatusGone))
		pools.outcomes["old"] = shards.OutcomeUnavailable
		Expect(i.State(ctx, q, "acc", "1").Status).To(Equal(http.StatusServiceUnavailable))
		Expect(i.Cancel(ctx, q, "acc", "1").Status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against calls to earlier pools for jobs that the present one has.
	It("asks its earlier pool only about jobs that the present one does not know", func() {
		pools.outcomes["new"] = shards.OutcomeDone
		Expect(i.State(ctx, q, "acc", "1").Status).To(Equal(http.StatusOK))
		Expect(pools.calls).To(HaveExactElements("state new"))
	})

	// Guards against a count without the jobs that wait in the earlier pool.
	It("counts the jobs that wait in either pool", func() {
		pools.pending = map[string]int{"new after": 2, "old before": 3, "old after": 50}
		Expect(*i.Pending(ctx, q).Pending).To(Equal(5))
	})
})
