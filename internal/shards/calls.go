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
	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/quota"
	"cyclamenwheel/internal/routing"
)

// Kinds of calls between peers.
const (
	kindSubmit  = "job.submit"
	kindCancel  = "job.cancel"
	kindState   = "job.state"
	kindFind    = "job.find"
	kindPending = "queue.pending"
	kindVacate  = "pool.vacate"
	kindMembers = "group.members"
	kindLeft    = "group.left"
)

const (
	// attemptTimeout bounds one attempt at a call. It exceeds the time that an owner takes while
	// the store is slow, so one that does not answer within it has ended or is unreachable.
	attemptTimeout = 700 * time.Millisecond
	// callTimeout bounds all attempts at a call: a member that ended loses its duties after
	// memberTTL, and its successor answers shortly after.
	callTimeout = 1800 * time.Millisecond
	// ownerChangeWait is how long a call waits for a pool that has no owner. An orderly change
	// of owner takes far less, also while the store loses answers; a pool without an owner for
	// longer may stay so for any time.
	ownerChangeWait = 500 * time.Millisecond
	// attemptDelay is the delay between attempts.
	attemptDelay = 30 * time.Millisecond
)

// SubmitCall submits a job to its pool's owner.
type SubmitCall struct {
	Pool       string             `cbor:"1,keyasint"`
	Job        jobs.Job           `cbor:"2,keyasint"`
	Acceptance executor.Accepting `cbor:"3,keyasint"`
	// Refused is how many jobs of the same class this node has refused since its last call.
	Refused int `cbor:"4,keyasint,omitempty"`
	// Address is the one that led to this pool.
	Address routing.Address `cbor:"5,keyasint,omitempty"`
}

// JobCall identifies a job of a pool.
type JobCall struct {
	Pool string `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
	// By is the caller that asks.
	By executor.Caller `cbor:"3,keyasint,omitempty"`
	// Address is the one that led to this pool; empty if an earlier version did.
	Address routing.Address `cbor:"4,keyasint,omitempty"`
}

// FindCall asks a pool to which an earlier version led whether it has accepted a job.
type FindCall struct {
	JobCall
	// Version is that of the configuration by which the job would be accepted in another pool.
	Version int64 `cbor:"5,keyasint"`
}

// QueueCall identifies a queue of a pool.
type QueueCall struct {
	Pool  string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
}

// VacateItem requests that one endpoint be vacated, or reports that its incarnation has ended.
type VacateItem struct {
	Endpoint string `cbor:"1,keyasint"`
	// StopTasks is set if the tasks left on the endpoint must be stopped.
	StopTasks bool `cbor:"2,keyasint,omitempty"`
	// Ended reports that the incarnation is known to have ended.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// StartedMs identifies that incarnation; 0 if unknown.
	StartedMs int64 `cbor:"4,keyasint,omitempty"`
}

// maxVacateMessage limits a VacateCall and its answer, in bytes. Both name a bounded number of
// endpoints, however many the pool has.
const maxVacateMessage = 256 << 10

var maxVacateBytes = peer.MaxBytes(maxVacateMessage)

// maxSubmitBytes limits a SubmitCall: a job and what it is accepted by.
var maxSubmitBytes = peer.MaxBytes(jobs.MaxRecordBytes + 16<<10)

// VacateCall requests that a pool's owner vacate endpoints and report the pool's state.
type VacateCall struct {
	Pool  string       `cbor:"1,keyasint"`
	Items []VacateItem `cbor:"2,keyasint,omitempty"`
	// IncomingCapacity is the CPU capacity on its way to the pool, or available to it.
	IncomingCapacity []executor.IncomingCapacity `cbor:"3,keyasint,omitempty"`
	// Due are endpoints that will have to be vacated soon.
	Due []string `cbor:"4,keyasint,omitempty"`
	// Shares are the pool's shares of client accounts' limits.
	Shares quota.Ask `cbor:"5,keyasint,omitempty"`
	// Loads is how many of the least loaded endpoints to report, beside those in Due.
	Loads int `cbor:"6,keyasint,omitempty"`
}

// VacateResult reports how many tasks are left on each requested endpoint; endpoints that
// the owner does not know are absent.
type VacateResult struct {
	Owned   bool             `cbor:"1,keyasint"`
	Left    map[string]int   `cbor:"2,keyasint,omitempty"`
	Summary executor.Summary `cbor:"3,keyasint"`
	// ProofAgeMs is the age, at the time of the answer, of the last proof that the owner's
	// epoch is the newest. Where an endpoint is reported empty, it is less than the duration of
	// the call.
	ProofAgeMs int64 `cbor:"4,keyasint"`
	// Started identifies the incarnations that Left refers to, in ms since 1970.
	Started map[string]int64 `cbor:"5,keyasint,omitempty"`
	// Accounts are the usage and the demand of client accounts in this pool.
	Accounts []quota.Report `cbor:"6,keyasint,omitempty"`
}

// MembersCall asks a peer for the group's members.
type MembersCall struct {
	// Known is the fingerprint of the reading that the caller has, 0 for none.
	Known uint64 `cbor:"1,keyasint,omitempty"`
}

// MembersResult is the peer's last reading of the group: the member that holds each
// partition.
type MembersResult struct {
	PartitionMembers map[int]string `cbor:"1,keyasint,omitempty"`
	AgeMs            int64          `cbor:"2,keyasint"`
	// Holders are the members that claimed each duty last.
	Holders map[string]holder `cbor:"3,keyasint,omitempty"`
	// Fingerprint identifies the reading and the holders. If it is the one that the caller
	// knows, both are left out.
	Fingerprint uint64 `cbor:"4,keyasint,omitempty"`
	// Config is the configuration that the peer has in force.
	Config published.Digest `cbor:"5,keyasint"`
}

// AskMembers asks a peer for its last reading of the members.
func AskMembers(ctx context.Context, peers *peer.Node, node string, in MembersCall) (MembersResult, error) {
	return peer.Call[MembersCall, MembersResult](ctx, peers, node, kindMembers, in)
}

// LeftCall notifies a peer that the caller leaves the group.
type LeftCall struct {
	// Member is the caller's name in the group.
	Member string `cbor:"1,keyasint"`
}

// LeftResult acknowledges a LeftCall.
type LeftResult struct{}

// NotifyLeaving notifies a peer that a member leaves the group.
func NotifyLeaving(ctx context.Context, peers *peer.Node, node, member string) {
	// A peer that misses the notification finds out at its next join.
	_, _ = peer.Call[LeftCall, LeftResult](ctx, peers, node, kindLeft, LeftCall{Member: member})
}

// Register registers the handlers of peers' calls.
func (m *Manager) Register(n *peer.Node) {
	peer.Handle(n, kindSubmit, func(ctx context.Context, _ peer.Identity, in SubmitCall) (Result, error) {
		return m.localSubmit(ctx, in), nil
	}, maxSubmitBytes)
	peer.Handle(n, kindKnown, func(ctx context.Context, _ peer.Identity, in KnownCall) (KnownResult, error) {
		return m.localKnown(ctx, in), nil
	})
	peer.Handle(n, kindCancel, func(ctx context.Context, _ peer.Identity, in JobCall) (Result, error) {
		return m.localCancel(ctx, in), nil
	})
	peer.Handle(n, kindState, func(ctx context.Context, _ peer.Identity, in JobCall) (Result, error) {
		return m.localState(ctx, in), nil
	})
	peer.Handle(n, kindFind, func(ctx context.Context, _ peer.Identity, in FindCall) (Result, error) {
		return m.localFind(ctx, in), nil
	})
	peer.Handle(n, kindPending, func(ctx context.Context, _ peer.Identity, in QueueCall) (Result, error) {
		return m.localPending(ctx, in), nil
	})
	peer.Handle(n, kindLeft, func(_ context.Context, _ peer.Identity, in LeftCall) (LeftResult, error) {
		m.markDeparted(in.Member)
		return LeftResult{}, nil
	})
	peer.Handle(n, kindMembers, func(_ context.Context, _ peer.Identity, in MembersCall) (MembersResult, error) {
		return m.membersResult(in), nil
	})
	peer.Handle(n, kindVacate, func(ctx context.Context, _ peer.Identity, in VacateCall) (VacateResult, error) {
		return m.localVacate(ctx, in), nil
	}, maxVacateBytes)
}

// resultNotOwner answers a call on a pool that this process does not own.
var resultNotOwner = Result{Outcome: OutcomeUnavailable, Reason: "the pool has no owner here", RetryAfterMs: ownerRetryAfterMs, Changing: true}

// resultOwnerChanging answers a call that a runner drops because it gives its pool up.
var resultOwnerChanging = Result{Outcome: OutcomeUnavailable, Reason: "the pool's owner changes", RetryAfterMs: ownerRetryAfterMs, Changing: true}

// resultOwnerChangingUnknown answers a call whose records were in flight to the store at
// that time.
var resultOwnerChangingUnknown = Result{Outcome: OutcomeUnknown, Reason: resultOwnerChanging.Reason}

// ownerRetryAfterMs is the retry delay given to callers while a pool changes owners.
const ownerRetryAfterMs = 1000

func (m *Manager) localCall(pool string, f func(*Runner) Result) Result {
	r := m.localRunner(pool)
	if r == nil {
		return resultNotOwner
	}
	return f(r)
}

func (m *Manager) localSubmit(ctx context.Context, in SubmitCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.submit(ctx, in) })
}

func (m *Manager) localCancel(ctx context.Context, in JobCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.cancelJob(ctx, in) })
}

func (m *Manager) localState(ctx context.Context, in JobCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.state(ctx, in) })
}

func (m *Manager) localFind(ctx context.Context, in FindCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.find(ctx, in) })
}

func (m *Manager) localPending(ctx context.Context, in QueueCall) Result {
	return m.localCall(in.Pool, func(r *Runner) Result { return r.pending(ctx, in.Queue) })
}

func (m *Manager) localVacate(ctx context.Context, in VacateCall) VacateResult {
	r := m.localRunner(in.Pool)
	if r == nil {
		return VacateResult{}
	}
	return r.vacate(ctx, in)
}

// Calls makes calls on pools, at whichever process owns them.
type Calls struct {
	Manager *Manager
	Peers   *peer.Node
	// OverloadControl bounds the submissions in flight to each other owner.
	OverloadControl bool

	limits ownerLimits
	known  knownQuestions
	large  turns
}

// call makes a call on this process or on the pool's owner, and retries it at the next
// owner while the pool changes owners. Calls are idempotent: a second owner finds a job
// under its id or accepts it under that id.
//
// Load: nodes are restarted in turn, and the pools of each get another owner within a
// moment. A caller that is rejected meanwhile retries a second later, when its job can no
// longer end on time; one whose outcome is unknown asks again in vain.
func (c *Calls) call(ctx context.Context, pool, kind string, local func(context.Context) Result, request any) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := planlease.Boottime()
	var history callAttempts
	for {
		history.record(c.attempt(ctx, pool, kind, local, request))
		if !history.shouldRetry(planlease.Boottime()-startedAt) || ctx.Err() != nil {
			return history.outcome()
		}
		pause.For(ctx, attemptDelay)
		c.Manager.invalidateHolders()
		c.Manager.refreshMembers(ctx, minMembersInterval)
	}
}

// attempt makes a call once, at the owner by the last reading of the members.
func (c *Calls) attempt(ctx context.Context, pool, kind string, local func(context.Context) Result, request any) Result {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if c.Manager.localRunner(pool) != nil {
		return local(ctx)
	}
	return c.remote(ctx, pool, kind, request)
}

func (c *Calls) remote(ctx context.Context, pool, kind string, request any) Result {
	owner, ok := c.Manager.OwnerOf(pool)
	if !ok || owner.Node == c.Manager.opts.Node {
		return resultNotOwner
	}
	if in, ok := request.(SubmitCall); ok && in.Job.RecordBytes() > largeSubmission {
		if !c.large.begin(ctx) {
			return resultLargeWaited
		}
		defer c.large.end()
	}
	finish := func(time.Duration, Result, error) {}
	if c.OverloadControl && kind == kindSubmit {
		if finish = c.limits.acquire(planlease.Boottime(), owner.Node); finish == nil {
			return resultOwnerBusy
		}
	}
	var options []peer.KindOption
	if kind == kindSubmit {
		options = append(options, maxSubmitBytes)
	}
	result, err := peer.Call[any, Result](ctx, c.Peers, owner.Node, kind, request, options...)
	finish(planlease.Boottime(), result, err)
	if err == nil {
		return result
	}
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) {
		return Result{Outcome: OutcomeUnavailable, Reason: "the pool's owner is unreachable: " + err.Error(), RetryAfterMs: ownerRetryAfterMs, Changing: true}
	}
	return Result{Outcome: OutcomeUnknown, Reason: err.Error()}
}

// Submit submits a job.
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

// Find asks a pool to which an earlier version led whether it has accepted a job. If there is none, the
// pool will accept none under that id any more, as long as the configuration leads its callers elsewhere.
func (c *Calls) Find(ctx context.Context, in FindCall) Result {
	return c.call(ctx, in.Pool, kindFind, func(ctx context.Context) Result { return c.Manager.localFind(ctx, in) }, in)
}

// Pending returns how many jobs of a queue have not started.
func (c *Calls) Pending(ctx context.Context, in QueueCall) Result {
	return c.call(ctx, in.Pool, kindPending, func(ctx context.Context) Result { return c.Manager.localPending(ctx, in) }, in)
}

// Vacate requests that a pool's owner vacate endpoints. Owned is false if no owner
// answered.
func (c *Calls) Vacate(ctx context.Context, in VacateCall) VacateResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if c.Manager.localRunner(in.Pool) != nil {
		return c.Manager.localVacate(ctx, in)
	}
	owner, ok := c.Manager.OwnerOf(in.Pool)
	if !ok || owner.Node == c.Manager.opts.Node {
		return VacateResult{}
	}
	out, err := peer.Call[VacateCall, VacateResult](ctx, c.Peers, owner.Node, kindVacate, in, maxVacateBytes)
	if err != nil {
		c.Manager.opts.Logger.Warn("pool's owner not asked to vacate endpoints", "pool", in.Pool, "peer", owner.Node, "items", len(in.Items), "error", err.Error())
		return VacateResult{}
	}
	return out
}

// VacateEndpoints implements fleetops.Pools by Vacate.
func (c *Calls) VacateEndpoints(ctx context.Context, pool string, request fleetops.VacateCall) fleetops.VacateResult {
	in := VacateCall{Pool: pool, IncomingCapacity: request.IncomingCapacity, Due: request.Due, Loads: request.Loads, Shares: request.Shares}
	for _, item := range request.Items {
		in.Items = append(in.Items, VacateItem{Endpoint: item.Endpoint, StopTasks: item.StopTasks, Ended: item.Ended, StartedMs: item.StartedMs})
	}
	out := c.Vacate(ctx, in)
	left := make(map[string]executor.Vacancy, len(out.Left))
	for id, n := range out.Left {
		left[id] = executor.Vacancy{Left: n, StartedMs: out.Started[id]}
	}
	return fleetops.VacateResult{Owned: out.Owned, Left: left, Summary: out.Summary, Accounts: out.Accounts,
		ProofAge: time.Duration(out.ProofAgeMs) * time.Millisecond}
}
