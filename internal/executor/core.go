// Package executor runs one pool's jobs. Core is a pure state machine: the
// caller passes in the time and what endpoints and callers said, makes the
// records durable that Ready returns, and only then sends the orders and
// answers that wait for them.
//
// Contract with the caller:
//   - Records of one Ready are appended in order, all or none, under the epoch
//     that the Core was built with, and after those of every earlier Ready.
//   - Replies of a Ready leave only after that append, and Advance is called for
//     each Ready in order. Starts leave as NextStart hands them out, as many at a
//     time as the owner carries. Stops (TakeStops) need no record and may leave at
//     once.
//   - Nothing is sent any more once Fenced reports true or the caller's own
//     proof of the epoch has grown older than Limits.ProofAge.
//
// Times are a clock that counts suspension; wall-clock times are ms since 1970.
package executor

import (
	"time"

	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/quota"
	"cyclamenwheel/internal/routing"
)

// Limits are the bounds that the deployment's settings give.
type Limits struct {
	// Lease is how far ahead leases are renewed. All owners of a deployment
	// must use the same, as a successor waits out its predecessor's.
	Lease time.Duration
	// ProofAge is how long an owner may go on renewing without having heard
	// from the store that its epoch is still the newest.
	ProofAge time.Duration
	// KeepEnded is how long the state of an ended job can be asked for.
	KeepEnded time.Duration
	// StopTimeout is the longest that a stop takes on an endpoint.
	StopTimeout time.Duration
	// LongestLease is what endpoints shorten longer leases to.
	LongestLease time.Duration
	// RoomHolds is how long starts may go by a room that has shrunk since: an endpoint tells
	// its room at intervals. 0 for no bound.
	RoomHolds time.Duration
}

const (
	// clockDrift is how slow an endpoint's clock may be.
	clockDrift = 0.02
	// expiryMargin covers rounding to ms and timers that fire late.
	expiryMargin = 100 * time.Millisecond
)

// JobState is what callers are shown.
type JobState uint8

// States of jobs.
const (
	JobQueued JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

var jobStateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

func (s JobState) String() string { return jobStateNames[s] }

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobCompleted }

// Core is the state of one pool. It is not safe for concurrent use.
type Core struct {
	pool   string
	epoch  int64
	limits Limits

	jobs      map[string]*job
	endpoints map[string]*endpoint
	// terms are the next ones of endpoints that were forgotten.
	terms map[string]int
	// gone are incarnations that are known to have ended.
	gone map[Incarnation]bool
	// open are jobs with tasks that may still be started, by objective unless
	// unsorted.
	open     []*job
	unsorted bool
	// ended are jobs that wait for the end of KeepEnded, oldest first.
	ended []*job

	// allowance is what client accounts may start here.
	allowance *quota.Allowance
	// sharesTold is when the holder of accounts' shares last spoke.
	sharesTold time.Duration
	// blocked is since when accounts have been at their shares.
	blocked map[string]time.Duration

	learned map[string]*lengths
	// learntSavedMs is when it was last written, by the time of day; learntChanged:
	// runs have ended since.
	learntSavedMs int64
	learntChanged bool

	// offered is all work offered, in core-ms; refusedAt keeps a job that comes
	// again from counting again.
	offered   float64
	refusedSince map[string]time.Duration
	// refusedOf counts refused jobs by client account.
	refusedOf map[string]int
	// loans is processor room that comes to the pool, the soonest first; the word
	// on them holds until loansUntil.
	loans      []loan
	loansUntil time.Duration

	// wary are open tasks that are not placed anywhere (trial.go). watchful: idle endpoints are
	// asked whether they live, as one of these tasks is to start now or may be soon.
	wary     []*task
	watchful bool
	// unheard are, by task, the endpoints that are silent since its lease ran out there.
	unheard map[string]unheardLosses

	// unsavedGivenUp are endpoints whose runs that were given up have changed; savedGivenUp
	// are those with a record of them.
	unsavedGivenUp, savedGivenUp map[string]bool

	dirty   map[*job]bool
	order   []*job
	removed []string
	// starts are decided and not yet in a Ready; leaving are durable and wait for
	// their turn to leave, and undurable counts those in between.
	starts    []Order
	leaving   []Order
	undurable int
	pace      pace
	// pacedAt is when the log last said that fewer starts may be under way.
	pacedAt time.Duration
	// placementsLeft is how many more starts this round may decide.
	placementsLeft int
	// storeTook is how long the journal takes, a moving average.
	storeTook time.Duration
	replies   []Reply
	acks      map[Incarnation]int64
	stops     []Order
	events    []Event

	claimedAt time.Duration
	// handedOver is how many ms the predecessor's leases lasted at the claim at
	// most, by endpoint, where it gave the pool up in order.
	handedOver map[string]int64
	// explained is when the log last said what tasks wait for.
	explained time.Duration
	wallMs    int64
	fenced    bool
	// adviceOut: a call for advice is under way.
	adviceOut bool
}

// New returns the empty state of a pool under an epoch claimed at now.
func New(pool string, epoch int64, limits Limits, now time.Duration) *Core {
	return &Core{
		pool: pool, epoch: epoch, limits: limits, claimedAt: now,
		jobs: map[string]*job{}, endpoints: map[string]*endpoint{}, terms: map[string]int{}, gone: map[Incarnation]bool{},
		unsavedGivenUp: map[string]bool{}, savedGivenUp: map[string]bool{}, unheard: map[string]unheardLosses{},
		learned: map[string]*lengths{}, allowance: quota.NewAllowance(), blocked: map[string]time.Duration{},
		refusedSince: map[string]time.Duration{}, refusedOf: map[string]int{}, dirty: map[*job]bool{}, acks: map[Incarnation]int64{},
		pace: newPace(),
	}
}

// Epoch is the number of the claim that the state was built under.
func (c *Core) Epoch() int64 { return c.epoch }

// Fenced reports whether an endpoint has seen a newer epoch.
func (c *Core) Fenced() bool { return c.fenced }

// SetWall passes the time of day, for due times and the age of ended jobs.
func (c *Core) SetWall(ms int64) { c.wallMs = ms }

// job is a caller's job and what has become of it.
type job struct {
	rec jobRecord
	// durable is the state whose record has been written; only it is shown.
	durable  JobState
	accepted bool
	// started: a start was intended; begun: an endpoint was known to have one.
	started bool
	begun   bool
	// since is when this owner first saw the job.
	since time.Duration
	// offered is when it was first handed in, and objective when it is late, on the
	// clock of since.
	offered, objective time.Duration
	// firstOpen is the lowest occurrence that has not ended.
	firstOpen int
	// next is the lowest occurrence that has not begun.
	next    int
	current []*occurrence
	// placed counts tasks that may be running anywhere.
	placed int
	queued bool
}

// occurrence is one run of all steps.
type occurrence struct {
	number int
	steps  []*stepRun
	left   int
}

// stepRun is one step of an occurrence.
type stepRun struct {
	job   *job
	occ   *occurrence
	index int
	spec  *jobs.Step
	tasks []*task
	left  int
	// waitsFor counts the steps that must end before this one begins.
	waitsFor int
	waiting  int
	// failures counts for a gang as a whole.
	failures int
	// gangDone: one member has ended done, which stands for all of them.
	gangDone bool
	// ran counts the tasks whose length is known, and ranMs is all of their lengths.
	ran   int
	ranMs float64
	// placedAt is when the newest of its tasks was placed.
	placedAt time.Duration
	advice   advice
	perHost  map[*endpoint]int
}

type phase uint8

const (
	taskWaiting phase = iota
	// taskPlaced: a start is intended, ordered or confirmed.
	taskPlaced
	taskDone
)

// task is one unit of work.
type task struct {
	step  *stepRun
	index int
	phase phase
	// run is the number of the newest run that may have been ordered.
	run        int
	failures   int
	host       *endpoint
	checkpoint string
	ticket     string

	// ordered is when the newest start order left; zero before.
	ordered time.Duration
	// confirmed is when the endpoint was first known to have the run.
	confirmed time.Duration
	// answered reports whether the newest start order was answered.
	answered bool
	// resending: the order waits to leave once more.
	resending bool
	// proven: the run is known to have been in the endpoint's present incarnation.
	proven bool
	// restored: the start was intended by an earlier owner, or left for an earlier
	// incarnation. Its order carries an older fence, so that it can't begin once the
	// present incarnation has been heard.
	restored bool
	// meantFor is when the incarnation started that a restored start was for, in ms since 1970;
	// 0 where not told.
	meantFor int64
	// resumed: the run began from a checkpoint.
	resumed bool
	percent int
	// movedAt is when percent last changed.
	movedAt time.Duration
	// listedAt is when it was last listed, on the endpoint's clock.
	listedAt time.Duration
	// rescues counts the runs that were stopped as their endpoint was slow.
	rescues int
	// evidence is what speaks for the task crashing its endpoints. doubted is what the end of
	// an incarnation says of its run, should that turn out to have ended with it.
	evidence evidence
	doubted  *crash
	// onTrial: it is suspected, and its run has just begun. waitsSince is since when it has
	// waited for an endpoint to try it on.
	onTrial    bool
	waitsSince time.Duration
	// lapsed: one of its leases has run out. wary: it is among Core.wary.
	lapsed, wary bool
	// stopping is set once the run shall end; stopSent is its newest order.
	stopping bool
	stopSent time.Duration
	// avoid is the incarnation that the last run failed on.
	avoid     Incarnation
	notBefore time.Duration
}

func (t *task) name() string {
	return jobs.TaskName{Job: t.step.job.rec.Job.ID, Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index}.String()
}

// endpoint is an endpoint of the pool in its present incarnation.
type endpoint struct {
	id, addr, zone, kind, rack string
	// startedMs is when the incarnation started, in ms since 1970; 0 where not told.
	startedMs int64
	// term counts the incarnations that this owner has met.
	term     int
	capacity Room
	// toldAt is what its clock showed as it told that; 0 where not told.
	toldAt time.Duration
	used   Room
	// listed reports whether service discovery has it.
	listed   bool
	draining bool
	vacating bool
	// vacateUntil ends a request to vacate that is not repeated.
	vacateUntil time.Duration
	// dueUntil is until when the endpoint counts as one that leaves soon.
	dueUntil  time.Duration
	tasks     map[*task]bool
	strangers int

	// looked is when a renewal under this epoch was last answered.
	looked     time.Duration
	lookedEver bool
	lookOut    bool
	nextLook   time.Duration
	failedLook int

	// clockAt and clock are the endpoint's newest clock and when it came.
	clock   time.Duration
	clockAt time.Duration
	// granted is the latest end of a lease that this owner asked for.
	granted time.Duration
	// heldUntil is how long runs may last whose orders were given to an earlier incarnation:
	// the ends of their leases were times on another clock.
	heldUntil time.Duration
	// seen is the number of the newest end taken in; acknowledged the newest
	// whose effect is durable.
	seen         int64
	acknowledged int64
	// givenUp are runs that were given up as their lease ran out, by task.
	givenUp map[string]int
	// unheard are those of them since which the endpoint has not been heard, and how long it
	// had been heard before.
	unheard map[string]unheardRun
	// gaveUpAt is when that last happened, or was restored.
	gaveUpAt time.Duration
	// withheld is the number of the first end that must not be acknowledged, 0 for
	// none.
	withheld int64

	// trial is the job whose suspected task has just begun here, nil for none.
	trial *job

	consecutiveFailures    int
	quarantine time.Duration
	speed      speed

	// keptFor is a lasting task for whose room the endpoint takes no others,
	// until keptUntil at the latest.
	keptFor   *task
	keptUntil time.Duration
}

// Room is an amount of an endpoint's resources.
type Room = quota.Amount

// needs is what a task of the step takes of its endpoint. A filling task takes
// only the processor time that others leave, but its memory is allocated.
func needs(s *jobs.Step) Room {
	r := declared(s)
	if s.Fills {
		r.CPUMilli = 0
	}
	return r
}

// EndpointInfo is what service discovery says of an endpoint.
type EndpointInfo struct {
	// StartedMs is when this incarnation started, in ms since 1970; 0 where not told.
	StartedMs                  int64
	ID, Addr, Zone, Kind, Rack string
	Capacity                   Room
	Draining                   bool
	// Clock is what the endpoint's own steady clock showed as it said this; 0 where not told.
	Clock time.Duration
}

// OrderKind tells orders apart.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
)

// Order is an order to an endpoint. The caller adds the lease.
type Order struct {
	Kind     OrderKind
	Endpoint string
	Addr     string
	// Fence is the number that the endpoint compares with the highest it has seen.
	Fence      int64
	Task       string
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	task       *task
	// sent is when a start left.
	sent time.Duration
	// slot is that of a start that has left.
	slot *slot
}

// Reply answers a call of Submit or Cancel by its token.
type Reply struct{ Token uint64 }

// EventKind names what a Core decided or came to believe.
type EventKind string

// Event is a line for the log.
type Event struct {
	Kind     EventKind
	Job      string
	Task     string
	Run      int
	Endpoint string
	Reason   string
	// AgeMs is the age of what the decision rests on.
	AgeMs int64
	// StartedMs is when the endpoint's incarnation started, where that matters.
	StartedMs int64
	// Account is the client account, where that matters.
	Account string
}

// Kinds of events.
const (
	EventAccepted EventKind = "job accepted"
	EventRefused  EventKind = "job refused"
	EventEnded    EventKind = "job ended"
	EventPlaced   EventKind = "task placed"
	EventTaskEnd  EventKind = "task ended"
	EventLost     EventKind = "task lost"
	EventGone     EventKind = "endpoint gone"
	EventStop     EventKind = "task stop ordered"
	EventQuiet    EventKind = "endpoint quarantined"
	EventStranger EventKind = "unknown run stopped"
	EventFenced   EventKind = "fenced by a newer epoch"
	EventRestored EventKind = "jobs restored"
	EventVacating EventKind = "endpoint vacating"
	EventWaits    EventKind = "task waits"
	EventAdvised  EventKind = "step advised"
	EventKept     EventKind = "endpoint kept for a task"
	EventSlow     EventKind = "endpoint slow"
	EventFine     EventKind = "endpoint no longer slow"
	EventWithheld EventKind = "end not acknowledged"
	EventPaced    EventKind = "starts paced"
	// EventCrashed: an incarnation has ended under a task's run, which had gone on for AgeMs.
	EventCrashed EventKind = "endpoint ended under task"
	// EventGivenUp: a task is given up, as endpoints crash under it.
	EventGivenUp EventKind = "task given up"
	// EventRestarted: another incarnation answers under an endpoint's id.
	EventRestarted EventKind = "endpoint restarted"
)

func (c *Core) event(e Event) { c.events = append(c.events, e) }

// TakeEvents returns what happened since the last call.
func (c *Core) TakeEvents() []Event {
	out := c.events
	c.events = nil
	return out
}

// Accepting is what a caller's job is accepted under.
type Accepting struct {
	Queue string
	Terms routing.Terms
	// Account is the client account that hands the job in, "" for none.
	Account string
}

// Dirty reports whether records wait for Ready.
func (c *Core) Dirty() bool { return len(c.dirty) > 0 || len(c.starts) > 0 || len(c.replies) > 0 }

// Busy reports whether anything runs, waits or is to be written.
func (c *Core) Busy() bool { return len(c.open) > 0 || len(c.dirty) > 0 || len(c.stops) > 0 }
