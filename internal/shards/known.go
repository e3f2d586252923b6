package shards

import (
	"context"
	"slices"
	"sync"
	"time"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/peer"
)

// Before a node refuses a submission without sending it, it asks the owner of the pool whether the job
// was accepted before: a caller that lost an answer submits its job again at any node, and must not be
// told that it was not accepted. The questions of a node on one pool are batched. The answer carries the
// newest notices, so that a class that is no longer refused is opened at once.

const (
	kindKnown = "job.known"
	// maxKnownIDs bounds the jobs and the classes of one call.
	maxKnownIDs = 256
	// maxKnownWaiting bounds the questions that wait at a node, by pool; further ones are not answered.
	maxKnownWaiting = 4 * maxKnownIDs
	// knownInterval is the least time between two calls on a pool; questions are gathered meanwhile.
	// It is short against the 50 ms within which refusals are answered.
	knownInterval = 3 * time.Millisecond
	// knownTimeout bounds a question. A caller's deadline is 3 s and its job is then submitted.
	knownTimeout = 300 * time.Millisecond
	// knownProofAge is the greatest age of the proof of the epoch at which an owner answers. A busy owner
	// appends many times in it, and it is shorter than memberTTL, after which a successor may have
	// accepted jobs.
	knownProofAge = 500 * time.Millisecond
)

// KnownCall asks the owner of a pool which jobs it has accepted or is accepting.
type KnownCall struct {
	Pool string   `cbor:"1,keyasint"`
	IDs  []string `cbor:"2,keyasint"`
	// Classes are the classes of these jobs, each once.
	Classes []ClassReport `cbor:"3,keyasint"`
}

// ClassReport says how many submissions of a class a node has refused since its last report.
type ClassReport struct {
	Priority int    `cbor:"1,keyasint,omitempty"`
	Account  string `cbor:"2,keyasint,omitempty"`
	Refused  int    `cbor:"3,keyasint,omitempty"`
}

func (c ClassReport) class() admission.MeterClass {
	return admission.MeterClass{Priority: c.Priority, Account: c.Account}
}

// KnownResult answers a KnownCall.
type KnownResult struct {
	// Answered is false if the callee can't tell; the other fields are then empty.
	Answered bool     `cbor:"1,keyasint"`
	Known    []string `cbor:"2,keyasint,omitempty"`
	// Notices are those of the call's classes, in their order.
	Notices []admission.Notice `cbor:"3,keyasint,omitempty"`
}

// KnownQuestion asks about one job that a node is about to refuse.
type KnownQuestion struct {
	Pool, ID string
	Class    admission.MeterClass
	// Refused is how many submissions of the class the node has refused since its last report.
	Refused int
}

// KnownAnswer is the answer about one job. If Answered is false, the job may be known, and the report
// of refused submissions may have got lost.
type KnownAnswer struct {
	Answered, Known bool
	Notice          admission.Notice
}

// Known asks the owner of a pool whether it knows a job, within knownTimeout.
func (c *Calls) Known(ctx context.Context, q KnownQuestion) KnownAnswer {
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	waiting := &waitingQuestion{KnownQuestion: q, ctx: ctx, answer: make(chan KnownAnswer, 1)}
	if !c.known.add(waiting, c.askKnown) {
		return KnownAnswer{}
	}
	select {
	case answer := <-waiting.answer:
		return answer
	case <-ctx.Done():
		return KnownAnswer{}
	}
}

// askKnown makes one call, at this process or at the pool's owner.
func (c *Calls) askKnown(in KnownCall) KnownResult {
	ctx, cancel := context.WithTimeout(context.Background(), knownTimeout)
	defer cancel()
	if c.Manager.localRunner(in.Pool) != nil {
		return c.Manager.localKnown(ctx, in)
	}
	owner, ok := c.Manager.OwnerOf(in.Pool)
	if !ok || owner.Node == c.Manager.opts.Node {
		return KnownResult{}
	}
	out, err := peer.Call[KnownCall, KnownResult](ctx, c.Peers, owner.Node, kindKnown, in)
	if err != nil {
		return KnownResult{} // the submission is sent, and its result says what is wrong
	}
	return out
}

// waitingQuestion is a question whose asker waits.
type waitingQuestion struct {
	KnownQuestion
	ctx    context.Context
	answer chan KnownAnswer
}

// knownQuestions gathers questions. At most one call per pool is in flight.
type knownQuestions struct {
	mu sync.Mutex
	// waiting holds the questions of the pools for which a goroutine makes calls.
	waiting map[string][]*waitingQuestion
}

// add adds a question, unless too many wait.
func (k *knownQuestions) add(q *waitingQuestion, ask func(KnownCall) KnownResult) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	waiting, running := k.waiting[q.Pool]
	if len(waiting) >= maxKnownWaiting {
		return false
	}
	if k.waiting == nil {
		k.waiting = map[string][]*waitingQuestion{}
	}
	k.waiting[q.Pool] = append(waiting, q)
	if !running {
		go k.run(q.Pool, ask)
	}
	return true
}

// run makes calls while questions on a pool wait.
func (k *knownQuestions) run(pool string, ask func(KnownCall) KnownResult) {
	for {
		time.Sleep(knownInterval)
		batch, more := k.take(pool)
		if len(batch) > 0 {
			call := callOf(pool, batch)
			deliverKnown(batch, call, ask(call))
		}
		if !more {
			return
		}
	}
}

// take removes the questions for the next call and leaves out those whose askers no longer wait. more is
// false if none waited, and the goroutine is to end.
func (k *knownQuestions) take(pool string) (batch []*waitingQuestion, more bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	waiting := slices.DeleteFunc(k.waiting[pool], func(q *waitingQuestion) bool { return q.ctx.Err() != nil })
	if len(waiting) == 0 {
		delete(k.waiting, pool)
		return nil, false
	}
	n := min(len(waiting), maxKnownIDs)
	k.waiting[pool] = slices.Clone(waiting[n:])
	return waiting[:n], true
}

// callOf returns the call for a batch, with the reports added up by class.
func callOf(pool string, batch []*waitingQuestion) KnownCall {
	call := KnownCall{Pool: pool}
	for _, q := range batch {
		call.IDs = append(call.IDs, q.ID)
		i := call.indexOf(q.Class)
		if i < 0 {
			i = len(call.Classes)
			call.Classes = append(call.Classes, ClassReport{Priority: q.Class.Priority, Account: q.Class.Account})
		}
		call.Classes[i].Refused += q.Refused
	}
	return call
}

func (c *KnownCall) indexOf(class admission.MeterClass) int {
	return slices.IndexFunc(c.Classes, func(r ClassReport) bool { return r.class() == class })
}

// deliverKnown answers the questions of a batch.
func deliverKnown(batch []*waitingQuestion, call KnownCall, out KnownResult) {
	answered := out.Answered && len(out.Notices) == len(call.Classes)
	for _, q := range batch {
		if !answered {
			q.answer <- KnownAnswer{}
			continue
		}
		q.answer <- KnownAnswer{Answered: true, Known: slices.Contains(out.Known, q.ID), Notice: out.Notices[call.indexOf(q.Class)]}
	}
}
