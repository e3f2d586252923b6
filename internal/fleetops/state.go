// Package fleetops decides which instances move between pools and which are maintained, so that
// pools get the capacity they need and maintenance waves complete in time. Its input is the
// platform's instance list, the configured pools and waves, the summaries and vacancy reports of the
// pools' owners, and the records of the previous holder of the duty. The shard manager calls Run,
// by way of the host, in the process that is to hold the fleet duty (a role claimed under an
// epoch), and reads the duty's records with OperationsOf and SharesOf when it starts a pool.
//
// State and its decisions do no I/O; Runner reads the instance list, asks the pools' owners to
// vacate endpoints, and sends the platform its orders.
//
// Contract: an operation is durable before its endpoint is vacated, and the platform gets the
// order only after the endpoint's owner has reported that no task is left on it. A successor
// continues its predecessor's operations.
//
// Terms: to vacate an endpoint is to place no more tasks on it until none is left. A long-running
// task is one that does not end by itself. The spare pool holds the instances that are switched off.
// The holder is the process that has claimed the fleet duty; an owner is that of a pool.
package fleetops

import (
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
)

// Kind is what an operation does to an instance.
type Kind uint8

const (
	KindMaintain Kind = iota
	KindMove
)

var kindNames = [...]string{"maintain", "move"}

func (k Kind) String() string { return kindNames[k] }

// Phase is the progress of an operation.
type Phase uint8

const (
	// PhaseVacating: the endpoint's owner is being asked to vacate it.
	PhaseVacating Phase = iota
	// PhaseOrdered: the platform has received the order, or may have.
	PhaseOrdered
	// PhaseEnded: the operation has ended. Its record is kept for as long as the platform remembers
	// who ordered the instance, so that a successor sends the instance no order for that long.
	PhaseEnded
)

// Operation is one move or maintenance of an instance.
type Operation struct {
	Instance string `cbor:"1,keyasint"`
	Kind     Kind   `cbor:"2,keyasint"`
	Wave     int    `cbor:"3,keyasint,omitempty"`
	From     string `cbor:"4,keyasint"`
	To       string `cbor:"5,keyasint,omitempty"`
	// Endpoint is the endpoint whose incarnation the operation ends.
	Endpoint string `cbor:"6,keyasint,omitempty"`
	// StartedMs identifies that incarnation, as reported by its pool's owner; 0 if not reported.
	// The next incarnation may have the same endpoint id.
	StartedMs int64 `cbor:"12,keyasint,omitempty"`
	Phase     Phase `cbor:"7,keyasint,omitempty"`
	// Holder sent the order, if one was sent.
	Holder string `cbor:"8,keyasint,omitempty"`
	// Ended is set when the platform has ended the incarnation.
	Ended bool `cbor:"9,keyasint,omitempty"`

	// OrderedMs is when the order was last sent, on its holder's monotonic clock, and OrderedEpoch
	// is that holder's epoch.
	OrderedMs    int64 `cbor:"10,keyasint,omitempty"`
	OrderedEpoch int64 `cbor:"11,keyasint,omitempty"`

	// endConfirmed is set when the pool's owner has received the incarnation's end.
	endConfirmed bool
	beganAt      time.Duration
	// firstAskedAt and askedAt are when the pool's owner was first and last asked to vacate the
	// endpoint.
	firstAskedAt, askedAt time.Duration
	// hadLongRunning is set if long-running tasks were on the instance when the operation began.
	hadLongRunning bool
	// acceptedAt is when the platform accepted the order.
	acceptedAt    time.Duration
	orderInFlight bool
	orderedAt     time.Duration
	// endedAt is when the operation ended.
	endedAt time.Duration
	// durableAt is when the operation's record was confirmed durable.
	durableAt time.Duration
	// vacancyReportedAt is when the owner last reported how many tasks are left.
	vacancyReportedAt time.Duration
	// vacatedSince is when the owner first reported that no task is left, with no report to the
	// contrary since.
	vacatedSince time.Duration
	vacated      bool
}

// Wave is a maintenance wave and its progress.
type Wave struct {
	Number int `cbor:"1,keyasint"`
	// SeenMs is when the wave was first seen, in ms since 1970.
	SeenMs int64 `cbor:"2,keyasint"`
	// Done are the instances whose maintenance is complete.
	Done      []string `cbor:"3,keyasint,omitempty"`
	Completed bool     `cbor:"4,keyasint,omitempty"`

	instances []string
	within    time.Duration
	maxAtOnce int
	done      map[string]bool
	// loadsAskedAt is when the pools' owners were first asked for the loads of the wave's
	// instances.
	loadsAskedAt time.Duration
	// announced reports whether the operator has been sent the wave's current state.
	announced bool
}

// Instance is an entry of the platform's instance list.
type Instance struct {
	Name, Pool, Zone, Kind, Rack string
	// Up reports that the instance is not moving, not in maintenance and not down.
	Up bool
	// Busy reports that a move or maintenance is in progress.
	Busy     bool
	Endpoint string
	CPUMilli int
}

// PoolView is the last summary from a pool's owner, when it was asked for, and when it arrived.
type PoolView struct {
	Summary     executor.Summary
	AskedAt, At time.Duration
	// endpointLoads are those of Summary by endpoint.
	endpointLoads map[string]executor.EndpointLoad
	// hasUnusable is set if one of them is unusable.
	hasUnusable bool
}

// State is what the fleet duty has observed and decided. It is not safe for concurrent use.
type State struct {
	limits Limits
	spare  string
	pools  map[string]*PoolView

	instances map[string]Instance
	// namesByPool are the keys of instances by pool, sorted, and instancesCPU is the sum of their
	// sizes in milli-cores.
	namesByPool  map[string][]string
	instancesCPU int
	// listedAt is when the instance list was requested.
	listedAt time.Duration
	// needsList is set if an order waits for a list requested after the owner's report that the endpoint is empty.
	needsList bool
	ops       map[string]*Operation
	waves     map[int]*Wave
	demand    map[string]*demand

	// reserved are instances that are not moved because a wave behind its pace needs them: one
	// that keeps moving from pool to pool would never be available to the wave.
	reserved map[string]bool
	// loadsWanted is how many of a pool's least loaded endpoints the next round may take.
	loadsWanted map[string]int
	// poolSurplus is each pool's capacity beyond its need in the last round, in milli-cores.
	poolSurplus map[string]float64
	// fleetSurplus is the capacity of all pools and the spare pool beyond the pools' needs, in
	// milli-cores.
	fleetSurplus float64

	dirtyOps   map[string]bool
	dirtyWaves map[int]bool
	// releaseOnRecord is set while a predecessor's release record is still stored.
	releaseOnRecord bool
	// noOrdersUntil is the time before which an instance that a predecessor may have ordered gets
	// no order.
	noOrdersUntil map[string]time.Duration
	// claimedAt is when this holder claimed the duty.
	claimedAt time.Duration
	// rejectedKinds are the kinds of instances that the platform rejected for a pool.
	rejectedKinds map[kindInPool]bool
	// sentOrders are the orders of the last orderWindow.
	sentOrders []orderBatch
	// visits counts the instances and operations that the last round looked at to choose moves.
	visits int
}

// Limits are durations guaranteed by the deployment, and the identity of the holder.
type Limits struct {
	// Holder is this node's name on the platform.
	Holder       string
	MoveTime     time.Duration
	MaintainTime time.Duration
	// HolderTTL is how long the platform remembers who ordered an instance.
	HolderTTL time.Duration
	// Epoch is the epoch of this holder's claim.
	Epoch int64
	// OrdersPerSecond is how many orders the platform accepts per second; 0 if it sets no limit.
	OrdersPerSecond int
}

// kindInPool is a kind of instance in a pool.
type kindInPool struct{ kind, pool string }

// NewState returns a state without observations.
func NewState(limits Limits) *State {
	return &State{limits: limits, pools: map[string]*PoolView{}, instances: map[string]Instance{}, ops: map[string]*Operation{},
		waves: map[int]*Wave{}, demand: map[string]*demand{}, dirtyOps: map[string]bool{}, dirtyWaves: map[int]bool{},
		poolSurplus: map[string]float64{}, loadsWanted: map[string]int{}, reserved: map[string]bool{}, rejectedKinds: map[kindInPool]bool{}, noOrdersUntil: map[string]time.Duration{}}
}

// ConfirmEnd records that a pool's owner has received an incarnation's end.
func (s *State) ConfirmEnd(instance, endpoint string) {
	if op := s.ops[instance]; op != nil && op.Endpoint == endpoint {
		op.endConfirmed = true
	}
}

// ObserveWave updates a wave from the operator's request.
func (s *State) ObserveWave(number int, instances []string, within time.Duration, maxAtOnce int, wallMs int64) {
	w := s.waves[number]
	if w == nil {
		w = &Wave{Number: number, SeenMs: wallMs, done: map[string]bool{}}
		s.waves[number] = w
		s.dirtyWaves[number] = true
	}
	w.instances, w.within, w.maxAtOnce = instances, within, max(1, maxAtOnce)
}

// ObserveInstances applies the platform's whole instance list, requested at asked.
func (s *State) ObserveInstances(asked time.Duration, list []Instance, spare string) {
	s.listedAt, s.spare = asked, spare
	s.instances = make(map[string]Instance, len(list))
	for _, i := range list {
		s.instances[i.Name] = i
	}
	s.namesByPool, s.instancesCPU = map[string][]string{}, 0
	for _, i := range s.instances {
		s.namesByPool[i.Pool] = append(s.namesByPool[i.Pool], i.Name)
		s.instancesCPU += i.CPUMilli
	}
	for _, names := range s.namesByPool {
		slices.Sort(names)
	}
}

// ObservePool applies a summary from a pool's owner, requested at asked.
func (s *State) ObservePool(asked, now time.Duration, pool string, sum executor.Summary) {
	loads := make(map[string]executor.EndpointLoad, len(sum.EndpointLoads))
	view := &PoolView{Summary: sum, AskedAt: asked, At: now, endpointLoads: loads}
	for _, l := range sum.EndpointLoads {
		loads[l.Endpoint] = l
		view.hasUnusable = view.hasUnusable || l.Unusable
	}
	s.pools[pool] = view
	s.observeDemand(now, pool, sum)
}

// ObserveVacancy applies an owner's report on the tasks left on an operation's endpoint. proven is
// a time at which the owner was still confirmed as the current one.
//
// The report counts only if the owner was confirmed after the operation became durable. An owner
// displaced before that has not seen the operation, and its successor, which has not read the
// record either, may place tasks on the endpoint that the report calls empty. A report on an
// incarnation that has ended says nothing about the next one.
func (s *State) ObserveVacancy(now, proven time.Duration, instance, endpoint string, vacancy executor.Vacancy) {
	op := s.ops[instance]
	if op == nil || op.Endpoint != endpoint || op.durableAt == 0 || proven < op.durableAt {
		return
	}
	// Once the platform has accepted the order, a new incarnation under the same id may be the one
	// that came up after it, and the order did not end that one.
	if op.acceptedAt == 0 && vacancy.StartedMs != op.StartedMs {
		op.StartedMs, op.vacated = vacancy.StartedMs, false
	}
	if vacancy.Left == 0 && !op.vacated {
		op.vacatedSince = now
	}
	op.vacated = vacancy.Left == 0
	op.vacancyReportedAt = now
}

func (s *State) begin(now time.Duration, op *Operation) {
	op.beganAt = now
	s.ops[op.Instance] = op
	s.dirtyOps[op.Instance] = true
}

// finish ends an operation. If the platform has received its order, the record stays until
// dropExpired removes it.
func (s *State) finish(now time.Duration, op *Operation) {
	s.dirtyOps[op.Instance] = true
	if op.Phase == PhaseVacating {
		delete(s.ops, op.Instance)
		return
	}
	op.Phase, op.endedAt = PhaseEnded, now
}

// dropExpired drops ended operations that the platform no longer remembers.
func (s *State) dropExpired(now time.Duration) {
	for name, op := range s.ops {
		if op.Phase == PhaseEnded && now-op.endedAt > s.limits.HolderTTL {
			delete(s.ops, name)
			s.dirtyOps[name] = true
		}
	}
}

// activeOperation returns the operation in progress on an instance, or nil.
func (s *State) activeOperation(instance string) *Operation {
	op := s.ops[instance]
	if op == nil || op.Phase == PhaseEnded {
		return nil
	}
	return op
}
