package shards

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/pause"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/quota"
)

// Kinds of calls between processes.
const (
	kindSubmit  = "job.submit"
	kindCancel  = "job.cancel"
	kindState   = "job.state"
	kindPending = "queue.pending"
	kindVacate  = "pool.vacate"
	kindMembers = "group.members"
	kindLeft    = "group.left"
)

const (
	// attemptLimit bounds one attempt at a call. An owner that is silent for longer,
	// also while the store is slow, is gone or cut off.
	attemptLimit = 700 * time.Millisecond
	// callLimit bounds all attempts at a call: a member is taken for gone after
	// memberTTL, and its successor answers a moment later.
	callLimit = 1800 * time.Millisecond
	// handOverWait is how long a pool without an owner is waited for. In order, it
	// has the next one well before, also while the store loses answers; longer than
	// that it may stay away for any time.
	handOverWait = 500 * time.Millisecond
	// callPause spaces attempts.
	callPause = 30 * time.Millisecond
)

// SubmitCall hands a job to its pool's owner.
type SubmitCall struct {
	Pool  string             `cbor:"1,keyasint"`
	Job   jobs.Job           `cbor:"2,keyasint"`
	Under executor.Accepting `cbor:"3,keyasint"`
}

// JobCall names a job of a pool.
type JobCall struct {
	Pool string `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
	// By is who asks.
	By executor.Caller `cbor:"3,keyasint,omitempty"`
}

// QueueCall names a queue of a pool.
type QueueCall struct {
	Pool  string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
}

// VacateItem asks for one endpoint to be cleared.
type VacateItem struct {
	Endpoint string `cbor:"1,keyasint"`
	Hurry    bool   `cbor:"2,keyasint,omitempty"`
	// Ended says that the incarnation is known to have ended.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// StartedMs tells that incarnation, 0 where not known.
	StartedMs int64 `cbor:"4,keyasint,omitempty"`
}

// VacateCall asks a pool's owner to clear endpoints, and how the pool is.
type VacateCall struct {
	Pool  string       `cbor:"1,keyasint"`
	Items []VacateItem `cbor:"2,keyasint,omitempty"`
	// Loans is the processor room that comes to the pool, or can.
	Loans []executor.Loan `cbor:"3,keyasint,omitempty"`
	// Due are endpoints that will have to be cleared soon.
	Due []string `cbor:"4,keyasint,omitempty"`
	// Shares are the pool's of client accounts' limits.
	Shares quota.Ask `cbor:"5,keyasint,omitempty"`
}

// VacateResult says how many tasks are left on each endpoint asked about;
// endpoints that the owner does not know are absent.
type VacateResult struct {
	Owned   bool             `cbor:"1,keyasint"`
	Left    map[string]int   `cbor:"2,keyasint,omitempty"`
	Summary executor.Summary `cbor:"3,keyasint"`
	// ProofAgeMs is how long before the answer the owner was proven to be the
	// newest: less than the call took, where an endpoint is said to be clear.
	ProofAgeMs int64 `cbor:"4,keyasint"`
	// Started tells the incarnations that Left is about, in ms since 1970.
	Started map[string]int64 `cbor:"5,keyasint,omitempty"`
	// Accounts are what client accounts use and want here.
	Accounts []quota.Report `cbor:"6,keyasint,omitempty"`
}

// MembersCall asks a peer for the group's members.
type MembersCall struct{}

// MembersResult is what a peer read of the group last: the member of each
// partition.
type MembersResult struct {
	Rows  map[int]string `cbor:"1,keyasint,omitempty"`
	AgeMs int64          `cbor:"2,keyasint"`
	// Holders are who claimed each duty last.
	Holders map[string]holder `cbor:"3,keyasint,omitempty"`
}

// AskMembers asks a peer for the members that it read last.
func AskMembers(ctx context.Context, peers *peer.Node, node string) (MembersResult, error) {
	return peer.Call[MembersCall, MembersResult](ctx, peers, node, kindMembers, MembersCall{})
}

// LeftCall tells a peer that the caller leaves the group.
type LeftCall struct {
	// Member is the caller's name in the group.
	Member string `cbor:"1,keyasint"`
}

// LeftResult acknowledges a LeftCall.
type LeftResult struct{}

// SayLeft tells a peer that a member leaves the group.
func SayLeft(ctx context.Context, peers *peer.Node, node, member string) {
	// A peer that does not hear it sees it at its next join.
	_, _ = peer.Call[LeftCall, LeftResult](ctx, peers, node, kindLeft, LeftCall{Member: member})
}

// Register makes this process answer its peers' calls.
func (m *Manager) Register(n *peer.Node) {
	peer.Handle(n, kindSubmit, func(ctx context.Context, _ peer.Identity, in SubmitCall) (Result, error) {
		return m.localSubmit(ctx, in), nil
	})
	peer.Handle(n, kindCancel, func(ctx context.Context, _ peer.Identity, in JobCall) (Result, error) {
		return m.localCancel(ctx, in), nil
	})
	peer.Handle(n, kindState, func(ctx context.Context, _ peer.Identity, in JobCall) (Result, error) {
		return m.localState(ctx, in), nil
	})
	peer.Handle(n, kindPending, func(ctx context.Context, _ peer.Identity, in QueueCall) (Result, error) {
		return m.localPending(ctx, in), nil
	})
	peer.Handle(n, kindLeft, func(_ context.Context, _ peer.Identity, in LeftCall) (LeftResult, error) {
		m.left(in.Member)
		return LeftResult{}, nil
	})
	peer.Handle(n, kindMembers, func(context.Context, peer.Identity, MembersCall) (MembersResult, error) {
		return m.lastRows(), nil
	})
	peer.Handle(n, kindVacate, func(ctx context.Context, _ peer.Identity, in VacateCall) (VacateResult, error) {
		return m.localVacate(ctx, in), nil
	})
}

var notOwner = Result{Outcome: OutcomeUnavailable, Reason: "the pool has no owner here", RetryAfterMs: retryOwnerMs, Changing: true}

// ownerChanges answers a call that a runner drops as it gives its pool up.
var ownerChanges = Result{Outcome: OutcomeUnavailable, Reason: "the pool's owner changes", RetryAfterMs: retryOwnerMs, Changing: true}

// ownerChangesUnknown answers one that was on its way to the store by then.
var ownerChangesUnknown = Result{Outcome: OutcomeUnknown, Reason: ownerChanges.Reason}

// retryOwnerMs is when to come back while a pool changes its owner.
const retryOwnerMs = 1000

func (m *Manager) localCall(pool string, f func(*Runner) Result) Result {
	r := m.local(pool)
	if r == nil {
		return notOwner
	}
	return f(r)
}

func (m *Manager) localSubmit(ctx context.Context, in SubmitCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.submit(ctx, in.Job, in.Under) })
}

func (m *Manager) localCancel(ctx context.Context, in JobCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.cancelJob(ctx, in.ID, in.By) })
}

func (m *Manager) localState(ctx context.Context, in JobCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.state(ctx, in.ID, in.By) })
}

func (m *Manager) localPending(ctx context.Context, in QueueCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.pending(ctx, in.Queue) })
}

func (m *Manager) localVacate(ctx context.Context, in VacateCall) VacateResult {
	r := m.local(in.Pool)
	if r == nil {
		return VacateResult{}
	}
	return r.vacate(ctx, in)
}

// Calls makes calls on pools wherever their owners are.
type Calls struct {
	Manager *Manager
	Peers   *peer.Node
}

// call runs a call here or at the owner, and again at the next owner while a pool
// changes hands. What is asked for is idempotent: a job has one id, under which a
// second owner finds it or takes it in.
//
// Load: nodes are restarted in turn, and with each the pools that it owned change
// hands within a moment. A caller that is sent away then comes back a second
// later, when its job can no longer end in time; one that is told that nobody knows
// asks again in vain.
func (c *Calls) call(ctx context.Context, pool, kind string, here func(context.Context) Result, there any) Result {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	began := planlease.Boottime()
	var t tries
	for {
		t.take(c.attempt(ctx, pool, kind, here, there))
		if !t.again(planlease.Boottime()-began) || ctx.Err() != nil {
			return t.outcome()
		}
		pause.For(ctx, callPause)
		c.Manager.doubtHolders()
		c.Manager.refreshMembers(ctx, membersMin)
	}
}

// attempt makes a call once, at the owner by the last reading of the members.
func (c *Calls) attempt(ctx context.Context, pool, kind string, here func(context.Context) Result, there any) Result {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	if c.Manager.local(pool) != nil {
		return here(ctx)
	}
	return c.remote(ctx, pool, kind, there)
}

func (c *Calls) remote(ctx context.Context, pool, kind string, in any) Result {
	owner, ok := c.Manager.OwnerOf(pool)
	if !ok || owner.Node == c.Manager.opts.Node {
		return notOwner
	}
	result, err := peer.Call[any, Result](ctx, c.Peers, owner.Node, kind, in)
	if err == nil {
		return result
	}
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) {
		return Result{Outcome: OutcomeUnavailable, Reason: "the pool's owner is unreachable: " + err.Error(), RetryAfterMs: retryOwnerMs, Changing: true}
	}
	return Result{Outcome: OutcomeUnknown, Reason: err.Error()}
}

// Submit hands in a job.
func (c *Calls) Submit(ctx context.Context, in SubmitCall) Result {
	return c.call(ctx, in.Pool, kindSubmit, func(ctx context.Context) Result { return c.Manager.localSubmit(ctx, in) }, in)
}

// Cancel cancels a job.
func (c *Calls) Cancel(ctx context.Context, in JobCall) Result {
	return c.call(ctx, in.Pool, kindCancel, func(ctx context.Context) Result { return c.Manager.localCancel(ctx, in) }, in)
}

// State returns a job's state.
func (c *Calls) State(ctx context.Context, in JobCall) Result {
	return c.call(ctx, in.Pool, kindState, func(ctx context.Context) Result { return c.Manager.localState(ctx, in) }, in)
}

// Pending returns how many jobs of a queue have not begun.
func (c *Calls) Pending(ctx context.Context, in QueueCall) Result {
	return c.call(ctx, in.Pool, kindPending, func(ctx context.Context) Result { return c.Manager.localPending(ctx, in) }, in)
}

// Vacate asks a pool's owner to clear endpoints. Owned is false where no owner
// answered.
func (c *Calls) Vacate(ctx context.Context, in VacateCall) VacateResult {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	if c.Manager.local(in.Pool) != nil {
		return c.Manager.localVacate(ctx, in)
	}
	owner, ok := c.Manager.OwnerOf(in.Pool)
	if !ok || owner.Node == c.Manager.opts.Node {
		return VacateResult{}
	}
	out, err := peer.Call[VacateCall, VacateResult](ctx, c.Peers, owner.Node, kindVacate, in)
	if err != nil {
		return VacateResult{}
	}
	return out
}

// Clear asks a pool's owner to clear endpoints, for the duty over instances.
func (c *Calls) Clear(ctx context.Context, pool string, ask fleetops.ClearCall) fleetops.ClearAnswer {
	in := VacateCall{Pool: pool, Loans: ask.Loans, Due: ask.Due, Shares: ask.Shares}
	for _, item := range ask.Clears {
		in.Items = append(in.Items, VacateItem{Endpoint: item.Endpoint, Hurry: item.StopTasks, Ended: item.Ended, StartedMs: item.StartedMs})
	}
	out := c.Vacate(ctx, in)
	left := make(map[string]executor.Vacancy, len(out.Left))
	for id, n := range out.Left {
		left[id] = executor.Vacancy{Left: n, StartedMs: out.Started[id]}
	}
	return fleetops.ClearAnswer{Owned: out.Owned, Left: left, Summary: out.Summary, Accounts: out.Accounts,
		ProofAge: time.Duration(out.ProofAgeMs) * time.Millisecond}
}
