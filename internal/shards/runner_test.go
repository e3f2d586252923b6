package shards

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

// memoryJournal is a store with one topic that answers after a delay. Like the platform's, it
// recognises a writer's repeated append.
type memoryJournal struct {
	mu      sync.Mutex
	records []platform.Record
	delay   time.Duration
	offsets map[platform.Writer]int64
}

func (j *memoryJournal) setDelay(d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delay = d
}

// count returns how often a key was written.
func (j *memoryJournal) count(key string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, record := range j.records {
		if record.Key == key {
			n++
		}
	}
	return n
}

func (j *memoryJournal) Append(_ context.Context, _ string, _ int64, w platform.Writer, records []platform.Record) (int64, error) {
	j.mu.Lock()
	offset, delay := int64(len(j.records)), j.delay
	storedAt, repeated := j.offsets[w]
	switch {
	case repeated && len(records) > 0:
		offset = storedAt
	case w.Name != "" && len(records) > 0:
		if j.offsets == nil {
			j.offsets = map[platform.Writer]int64{}
		}
		j.offsets[w] = offset
		fallthrough
	default:
		j.records = append(j.records, records...)
	}
	j.mu.Unlock()
	time.Sleep(delay)
	return offset, nil
}

func (j *memoryJournal) Newest(context.Context, string) (platform.Page, error) {
	return j.Read(context.Background(), "", 0, 0)
}

func (j *memoryJournal) Read(_ context.Context, _ string, from int64, _ time.Duration) (platform.Page, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return platform.Page{Records: append([]platform.Record(nil), j.records[from:]...), Next: int64(len(j.records))}, nil
}

// fakeEndpoint starts every task that it is ordered to start and lists it as running.
type fakeEndpoint struct {
	Endpoints
	mu      sync.Mutex
	started map[string]int
}

func (e *fakeEndpoint) Start(_ context.Context, _ platform.EndpointRef, o platform.StartOrder) (platform.EndpointAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started[o.Task] = o.Run
	return platform.EndpointAnswer{Clock: time.Second}, nil
}

func (e *fakeEndpoint) Renew(context.Context, platform.EndpointRef, platform.Renewal) (platform.RenewalResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	response := platform.RenewalResponse{EndpointAnswer: platform.EndpointAnswer{Clock: time.Second}}
	for task, run := range e.started {
		response.Running = append(response.Running, platform.TaskRun{Task: task, Run: run})
	}
	return response, nil
}

func (e *fakeEndpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.started)
}

// startRunner runs a pool with one endpoint until ctx ends.
func startRunner(ctx context.Context, g *WithT, journal *memoryJournal, endpoints Endpoints, limits executor.Limits) (r *Runner, ended chan struct{}) {
	return startRunnerWith(ctx, g, journal, endpoints, limits,
		executor.EndpointInfo{ID: "i-1", Addr: "i-1", Capacity: executor.Resources{CPUMilli: 4000, MemoryMB: 4000}})
}

// startRunnerWith runs a pool with the given endpoints until ctx ends.
func startRunnerWith(ctx context.Context, g *WithT, journal tenure.Journal, endpoints Endpoints, limits executor.Limits, listed ...executor.EndpointInfo) (r *Runner, ended chan struct{}) {
	m := NewManager(Options{Node: "n-1", Member: "n-1", Store: tenure.Store{Journal: journal, Attempts: attempts.NewPolicy()}, Endpoints: endpoints, Limits: limits,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnPeers: func(map[string]string) {}})
	r = newRunner(m, "pool")
	g.Expect(r.claim(ctx, Duty{m, "pool"})).To(Succeed())
	r.core.ObserveEndpoints(r.now(), listed)
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		r.run(ctx)
	}()
	return r, ended
}

// Guards against an accepted job whose tasks never start. The owner is suspended just as the
// store confirms the tasks' starts. When it resumes, its proof of the epoch is too old to
// send them. If it dropped them, they would never be sent, because an order that was never
// sent is not repeated either.
func TestStartsWithAnOldProofAreSentOnceItIsRenewed(t *testing.T) {
	g := NewWithT(t)
	journal := &memoryJournal{}
	endpoint := &fakeEndpoint{started: map[string]int{}}
	limits := executor.Limits{Lease: 3 * time.Second, ProofAge: 200 * time.Millisecond, KeepEnded: time.Minute, StopTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunner(ctx, g, journal, endpoint, limits)
	defer func() {
		cancel()
		<-ended
	}()

	journal.setDelay(2 * limits.ProofAge)
	job := jobs.Job{ID: "00000000000000aa", Steps: []jobs.Step{{Count: 2, CPUMilli: 500, MemoryMB: 10, EstimateMs: 100}}}
	under := executor.Accepting{Queue: "q", Terms: routing.Terms{Attempts: 3, SlowdownFactor: 2, Slack: 5 * time.Second}}
	g.Eventually(func() Outcome { return r.submit(ctx, SubmitCall{Job: job, Acceptance: under}).Outcome }, 10*time.Second).Should(Equal(OutcomeDone))
	// Wait until the starts are durable under an old proof.
	g.Eventually(func() int { return journal.count("p" + job.ID) }, 10*time.Second).Should(BeNumerically(">", 0))
	time.Sleep(2 * limits.ProofAge) // the answer to that append
	journal.setDelay(0)
	g.Eventually(endpoint.count, 10*time.Second).Should(Equal(2))
}

// A node is restarted in an orderly way while a batch of its pool is in flight to the store.
// The caller of that batch is answered, and the successor finds how long the leases may
// last, so that it need not wait for longer.
func TestAPoolIsHandedOverAfterTheBatchInFlight(t *testing.T) {
	g := NewWithT(t)
	journal := &memoryJournal{}
	endpoint := &fakeEndpoint{started: map[string]int{}}
	limits := executor.Limits{Lease: 3 * time.Second, ProofAge: 4 * time.Second, KeepEnded: time.Minute, StopTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunner(ctx, g, journal, endpoint, limits)
	journal.setDelay(100 * time.Millisecond)
	job := jobs.Job{ID: "00000000000000ab", Steps: []jobs.Step{{Count: 1, CPUMilli: 500, MemoryMB: 10, EstimateMs: 100}}}
	answer := make(chan Result, 1)
	go func() {
		answer <- r.submit(context.Background(), SubmitCall{Job: job, Acceptance: executor.Accepting{Queue: "q", Terms: routing.Terms{Attempts: 3, SlowdownFactor: 2, Slack: 5 * time.Second}}})
	}()
	g.Eventually(func() int { return journal.count("j" + job.ID) }, 10*time.Second).Should(Equal(1))
	started := endpoint.count()
	cancel()
	g.Eventually(ended, 10*time.Second).Should(BeClosed())
	g.Expect(journal.count("h")).To(Equal(1))
	g.Expect((<-answer).Outcome).To(Equal(OutcomeDone))
	g.Expect(endpoint.count()).To(Equal(started))
}

// blockingJournal blocks each append until the test lets it continue.
type blockingJournal struct {
	memoryJournal
	blocked chan chan struct{}
}

func (j *blockingJournal) Append(ctx context.Context, topic string, at int64, w platform.Writer, records []platform.Record) (int64, error) {
	if len(records) > 0 && w.Name != "" {
		proceed := make(chan struct{})
		j.blocked <- proceed
		<-proceed
	}
	return j.memoryJournal.Append(ctx, topic, at, w, records)
}

// Guards against a job of two steps that is late by a second while the store takes 300 ms to
// answer, because each batch waits for the answer of the one before and then for its own.
// The next batch is sent meanwhile; its effects still wait for both answers.
func TestSeveralBatchesAreInFlightWhileTheStoreIsSlow(t *testing.T) {
	g := NewWithT(t)
	journal := &blockingJournal{blocked: make(chan chan struct{}, 16)}
	limits := executor.Limits{Lease: 3 * time.Second, ProofAge: 20 * time.Second, KeepEnded: time.Minute, StopTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunnerWith(ctx, g, journal, &fakeEndpoint{started: map[string]int{}}, limits)
	answers := make(chan string, 2)
	submit := func(id string) chan struct{} {
		go func() {
			job := jobs.Job{ID: id, Steps: []jobs.Step{{Count: 1, CPUMilli: 500, EstimateMs: 100}}}
			r.submit(context.Background(), SubmitCall{Job: job, Acceptance: executor.Accepting{Queue: "q", Terms: routing.Terms{Attempts: 3, SlowdownFactor: 2, Slack: 5 * time.Second}}})
			answers <- id
		}()
		var proceed chan struct{}
		g.Eventually(journal.blocked, 10*time.Second).Should(Receive(&proceed))
		return proceed
	}
	for range 8 { // recent answers of a slow store
		r.store.Attempts.Answered(0, 300*time.Millisecond, true)
	}
	first := submit("00000000000000b1")
	second := submit("00000000000000b2")
	close(second)
	g.Consistently(answers, 200*time.Millisecond).ShouldNot(Receive())
	close(first)
	g.Eventually(answers, 10*time.Second).Should(Receive())
	g.Eventually(answers, 10*time.Second).Should(Receive())
	cancel()
	go func() { // lets the handover record through
		for proceed := range journal.blocked {
			close(proceed)
		}
	}()
	<-ended
	close(journal.blocked)
}
