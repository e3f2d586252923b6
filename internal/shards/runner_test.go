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

// memoryJournal is a store with one topic that answers after delay.
// As the platform's, it recognises a writer's repeated append.
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

// count is how often a key was written.
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
	had, again := j.offsets[w]
	switch {
	case again && len(records) > 0:
		offset = had
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

// obedientEndpoint starts what it is told to and lists it as running.
type obedientEndpoint struct {
	Endpoints
	mu      sync.Mutex
	started map[string]int
}

func (e *obedientEndpoint) Start(_ context.Context, _ platform.EndpointRef, o platform.StartOrder) (platform.EndpointAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started[o.Task] = o.Run
	return platform.EndpointAnswer{Clock: time.Second}, nil
}

func (e *obedientEndpoint) Renew(context.Context, platform.EndpointRef, platform.Renewal) (platform.RenewalResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	look := platform.RenewalResponse{EndpointAnswer: platform.EndpointAnswer{Clock: time.Second}}
	for task, run := range e.started {
		look.Running = append(look.Running, platform.TaskRun{Task: task, Run: run})
	}
	return look, nil
}

func (e *obedientEndpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.started)
}

// startRunner lets a runner own a pool with one endpoint, until ctx ends.
func startRunner(ctx context.Context, g *WithT, journal *memoryJournal, endpoints Endpoints, limits executor.Limits) (r *Runner, ended chan struct{}) {
	return startOn(ctx, g, journal, endpoints, limits,
		executor.EndpointInfo{ID: "i-1", Addr: "i-1", Capacity: executor.Room{CPUMilli: 4000, MemoryMB: 4000}})
}

// startOn lets a runner own a pool with the endpoints that are listed.
func startOn(ctx context.Context, g *WithT, journal tenure.Journal, endpoints Endpoints, limits executor.Limits, listed ...executor.EndpointInfo) (r *Runner, ended chan struct{}) {
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

// A caller's job is accepted and none of its tasks ever begins. The owner is
// suspended just as the store confirms the tasks' starts: on waking, its proof
// of the epoch is too old to send them, and by the time that it has a new one
// the starts are forgotten, as an order that never left is not repeated either.
func TestStartsOfAnOldProofAreSentOnceItIsRenewed(t *testing.T) {
	g := NewWithT(t)
	journal := &memoryJournal{}
	endpoint := &obedientEndpoint{started: map[string]int{}}
	limits := executor.Limits{Lease: 3 * time.Second, ProofAge: 200 * time.Millisecond, KeepEnded: time.Minute, StopTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunner(ctx, g, journal, endpoint, limits)
	defer func() {
		cancel()
		<-ended
	}()

	journal.setDelay(2 * limits.ProofAge)
	job := jobs.Job{ID: "00000000000000aa", Steps: []jobs.Step{{Count: 2, CPUMilli: 500, MemoryMB: 10, EstimateMs: 100}}}
	under := executor.Accepting{Queue: "q", Terms: routing.Terms{Attempts: 3, Stretch: 2, Slack: 5 * time.Second}}
	g.Eventually(func() Outcome { return r.submit(ctx, job, under).Outcome }, 10*time.Second).Should(Equal(OutcomeDone))
	// Until the starts are durable under an old proof.
	g.Eventually(func() int { return journal.count("p" + job.ID) }, 10*time.Second).Should(BeNumerically(">", 0))
	time.Sleep(2 * limits.ProofAge) // the answer to that append
	journal.setDelay(0)
	g.Eventually(endpoint.count, 10*time.Second).Should(Equal(2))
}

// A node is restarted in order while a batch of its pool is on its way to the
// store. The caller of that batch is answered, and the successor finds how long
// the leases may last, so that it need not wait for longer.
func TestAPoolIsHandedOverBehindTheBatchOnItsWay(t *testing.T) {
	g := NewWithT(t)
	journal := &memoryJournal{}
	endpoint := &obedientEndpoint{started: map[string]int{}}
	limits := executor.Limits{Lease: 3 * time.Second, ProofAge: 4 * time.Second, KeepEnded: time.Minute, StopTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startRunner(ctx, g, journal, endpoint, limits)
	journal.setDelay(100 * time.Millisecond)
	job := jobs.Job{ID: "00000000000000ab", Steps: []jobs.Step{{Count: 1, CPUMilli: 500, MemoryMB: 10, EstimateMs: 100}}}
	answer := make(chan Result, 1)
	go func() {
		answer <- r.submit(context.Background(), job, executor.Accepting{Queue: "q", Terms: routing.Terms{Attempts: 3, Stretch: 2, Slack: 5 * time.Second}})
	}()
	g.Eventually(func() int { return journal.count("j" + job.ID) }, 10*time.Second).Should(Equal(1))
	started := endpoint.count()
	cancel()
	g.Eventually(ended, 10*time.Second).Should(BeClosed())
	g.Expect(journal.count("h")).To(Equal(1))
	g.Expect((<-answer).Outcome).To(Equal(OutcomeDone))
	g.Expect(endpoint.count()).To(Equal(started))
}

// heldJournal keeps each append until it is let through.
type heldJournal struct {
	memoryJournal
	held chan chan struct{}
}

func (j *heldJournal) Append(ctx context.Context, topic string, at int64, w platform.Writer, records []platform.Record) (int64, error) {
	if len(records) > 0 && w.Name != "" {
		through := make(chan struct{})
		j.held <- through
		<-through
	}
	return j.memoryJournal.Append(ctx, topic, at, w, records)
}

// A job of two steps is late by a second while the store takes 300 ms for an
// answer: each batch waits for the one before to be answered, and then for its own
// answer. The next one goes out meanwhile; what it allows still waits for both.
func TestBatchesGoSideBySideWhileTheStoreIsSlow(t *testing.T) {
	g := NewWithT(t)
	journal := &heldJournal{held: make(chan chan struct{}, 16)}
	limits := executor.Limits{Lease: 3 * time.Second, ProofAge: 20 * time.Second, KeepEnded: time.Minute, StopTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	r, ended := startOn(ctx, g, journal, &obedientEndpoint{started: map[string]int{}}, limits)
	answers := make(chan string, 2)
	handIn := func(id string) chan struct{} {
		go func() {
			job := jobs.Job{ID: id, Steps: []jobs.Step{{Count: 1, CPUMilli: 500, EstimateMs: 100}}}
			r.submit(context.Background(), job, executor.Accepting{Queue: "q", Terms: routing.Terms{Attempts: 3, Stretch: 2, Slack: 5 * time.Second}})
			answers <- id
		}()
		var through chan struct{}
		g.Eventually(journal.held, 10*time.Second).Should(Receive(&through))
		return through
	}
	for range 8 { // as the store has answered lately
		r.store.Attempts.Answered(0, 300*time.Millisecond, true)
	}
	first := handIn("00000000000000b1")
	second := handIn("00000000000000b2")
	close(second)
	g.Consistently(answers, 200*time.Millisecond).ShouldNot(Receive())
	close(first)
	g.Eventually(answers, 10*time.Second).Should(Receive())
	g.Eventually(answers, 10*time.Second).Should(Receive())
	cancel()
	go func() { // the record of the hand-over
		for through := range journal.held {
			close(through)
		}
	}()
	<-ended
	close(journal.held)
}
