// Package fleetops is the duty over instances: it brings maintenance waves
// through and moves instances between pools. State and its decisions are pure;
// Runner reads the instance list, asks the pools' owners to clear endpoints,
// and gives the platform its orders.
//
// Contract: an operation is recorded before its endpoint is cleared, and the
// platform is told only once the endpoint's owner has said that nothing is left
// on it. What a predecessor began is gone on with.
package fleetops

import (
	"maps"
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
)

// Kind is what an operation does to an instance.
type Kind uint8

// Kinds of operations.
const (
	KindMaintain Kind = iota
	KindMove
)

var kindNames = [...]string{"maintain", "move"}

func (k Kind) String() string { return kindNames[k] }

// Phase is how far an operation is.
type Phase uint8

// Phases of operations.
const (
	// PhaseClearing: the endpoint's owner is asked to clear it.
	PhaseClearing Phase = iota
	// PhaseOrdered: the platform was told, or may have been.
	PhaseOrdered
	// PhaseOver: it has ended. The record is kept for as long as the platform
	// remembers who ordered the instance, so that a successor leaves the
	// instance alone for that long.
	PhaseOver
)

// Operation is one change of an instance under way.
type Operation struct {
	Instance string `cbor:"1,keyasint"`
	Kind     Kind   `cbor:"2,keyasint"`
	Wave     int    `cbor:"3,keyasint,omitempty"`
	From     string `cbor:"4,keyasint"`
	To       string `cbor:"5,keyasint,omitempty"`
	// Endpoint is the endpoint whose incarnation the operation ends.
	Endpoint string `cbor:"6,keyasint,omitempty"`
	// StartedMs tells that incarnation, by the word of its pool's owner; 0 where not told.
	// An endpoint may come back under its id.
	StartedMs int64 `cbor:"12,keyasint,omitempty"`
	Phase     Phase `cbor:"7,keyasint,omitempty"`
	// Holder gave the order, if any was given.
	Holder string `cbor:"8,keyasint,omitempty"`
	// Ended says that the platform has ended the incarnation.
	Ended bool `cbor:"9,keyasint,omitempty"`

	// OrderedMs is when the order was last given, on its holder's steady clock, and
	// OrderedIn that holder's epoch.
	OrderedMs int64 `cbor:"10,keyasint,omitempty"`
	OrderedIn int64 `cbor:"11,keyasint,omitempty"`

	// endConfirmed: the pool's owner has heard that.
	endConfirmed bool
	beganAt      time.Duration
	// hadLasting: tasks that last were on the instance as the operation began.
	hadLasting bool
	// acceptedAt is when the platform confirmed the order.
	acceptedAt    time.Duration
	orderInFlight bool
	orderedAt     time.Duration
	// endedAt is when it ended.
	endedAt time.Duration
	// durableAt is when the operation was known to be durable.
	durableAt time.Duration
	// clearReportedAt is when the owner last said that nothing is left.
	clearReportedAt time.Duration
	// clearSince is when it first said so, without a contrary word since.
	clearSince time.Duration
	cleared    bool
}

// Wave is a maintenance wave and how far it is.
type Wave struct {
	Number int `cbor:"1,keyasint"`
	// SeenMs is when the wave was first seen, in ms since 1970.
	SeenMs int64 `cbor:"2,keyasint"`
	// Done are the instances that have been through.
	Done      []string `cbor:"3,keyasint,omitempty"`
	Completed bool     `cbor:"4,keyasint,omitempty"`

	instances []string
	within    time.Duration
	maxAtOnce int
	done      map[string]bool
	// announced reports whether the operator was told the newest state.
	announced bool
}

// Instance is an entry of the platform's list.
type Instance struct {
	Name, Pool, Zone, Kind, Rack string
	// Up reports whether it is neither moving, nor maintained, nor down.
	Up bool
	// Busy reports a move or maintenance under way.
	Busy     bool
	Endpoint string
	CPUMilli int
}

// PoolView is what a pool's owner said of it, and when.
type PoolView struct {
	Summary executor.Summary
	At      time.Duration
	// hosts are the loads of Summary by endpoint.
	hosts map[string]executor.HostLoad
}

// State is what the duty knows. It is not safe for concurrent use.
type State struct {
	limits Limits
	spare  string
	pools  map[string]*PoolView

	instances map[string]Instance
	// instanceNames are those of instances, in order.
	instanceNames []string
	// listedAt is when the instance list was asked for.
	listedAt time.Duration
	// needsList: an order waits for a list that is newer than its owner's word.
	needsList bool
	ops       map[string]*Operation
	waves     map[int]*Wave
	demand    map[string]*demand

	// reserved are instances that are kept for a wave's last part: moving from
	// pool to pool they would never be free for it.
	reserved map[string]bool
	// poolSurplus is what each pool has beyond its need, in milli-cores, by the
	// last round.
	poolSurplus map[string]float64
	// fleetSurplus is what all pools together, and the spare pool, have beyond their needs.
	fleetSurplus float64

	dirtyOps   map[string]bool
	dirtyWaves map[int]bool
	// releaseOnRecord reports that a predecessor's release is still on record.
	releaseOnRecord bool
	// noOrdersUntil is until when an instance that a predecessor may have ordered about
	// is left alone.
	noOrdersUntil map[string]time.Duration
	// claimedAt is when this holder took the duty over.
	claimedAt time.Duration
	// rejectedKinds are kinds of instances that the platform refused for a pool.
	rejectedKinds map[kindInPool]bool
}

// Limits are times that the deployment promises.
type Limits struct {
	// Holder is this node, as the platform knows it.
	Holder string
	// MoveTime is how long a move takes.
	MoveTime time.Duration
	// MaintainTime is how long maintenance takes.
	MaintainTime time.Duration
	// HolderTTL is how long the platform remembers who ordered an instance.
	HolderTTL time.Duration
	// Epoch is that of this holder's claim.
	Epoch int64
}

// kindInPool is a kind of instance in a pool.
type kindInPool struct{ kind, pool string }

// NewState returns the state of a duty that knows nothing.
func NewState(limits Limits) *State {
	return &State{limits: limits, pools: map[string]*PoolView{}, instances: map[string]Instance{}, ops: map[string]*Operation{},
		waves: map[int]*Wave{}, demand: map[string]*demand{}, dirtyOps: map[string]bool{}, dirtyWaves: map[int]bool{},
		poolSurplus: map[string]float64{}, reserved: map[string]bool{}, rejectedKinds: map[kindInPool]bool{}, noOrdersUntil: map[string]time.Duration{}}
}

// EndTold takes in that a pool's owner knows of an incarnation's end.
func (s *State) EndTold(instance, endpoint string) {
	if op := s.ops[instance]; op != nil && op.Endpoint == endpoint {
		op.endConfirmed = true
	}
}

// ObserveWave takes in a wave that the operator asks for.
func (s *State) ObserveWave(number int, instances []string, within time.Duration, maxAtOnce int, wallMs int64) {
	w := s.waves[number]
	if w == nil {
		w = &Wave{Number: number, SeenMs: wallMs, done: map[string]bool{}}
		s.waves[number] = w
		s.dirtyWaves[number] = true
	}
	w.instances, w.within, w.maxAtOnce = instances, within, max(1, maxAtOnce)
}

// ObserveInstances takes in the platform's whole list, asked for at asked.
func (s *State) ObserveInstances(asked time.Duration, list []Instance, spare string) {
	s.listedAt, s.spare = asked, spare
	s.instances = make(map[string]Instance, len(list))
	for _, i := range list {
		s.instances[i.Name] = i
	}
	s.instanceNames = slices.Sorted(maps.Keys(s.instances))
}

// ObservePool takes in what a pool's owner said.
func (s *State) ObservePool(now time.Duration, pool string, sum executor.Summary) {
	hosts := make(map[string]executor.HostLoad, len(sum.Hosts))
	for _, h := range sum.Hosts {
		hosts[h.Endpoint] = h
	}
	s.pools[pool] = &PoolView{Summary: sum, At: now, hosts: hosts}
	s.observeDemand(now, pool, sum)
}

// Cleared takes in what an owner says of the tasks on an operation's endpoint.
// proven is a time at which the owner was still the newest. An owner that was
// displaced before the operation was recorded does not know it, and its
// successor, which has not read the record either, places tasks on the endpoint
// that it calls clear: only an owner proven later than the record counts. A word
// on an incarnation that has died meanwhile says nothing about its successor.
func (s *State) Cleared(now, proven time.Duration, instance, endpoint string, word executor.Vacancy) {
	op := s.ops[instance]
	if op == nil || op.Endpoint != endpoint || op.durableAt == 0 || proven < op.durableAt {
		return
	}
	// From its acceptance on the order may have begun the next incarnation under the id,
	// which it has not ended.
	if op.acceptedAt == 0 && word.StartedMs != op.StartedMs {
		op.StartedMs, op.cleared = word.StartedMs, false
	}
	if word.Left == 0 && !op.cleared {
		op.clearSince = now
	}
	op.cleared = word.Left == 0
	op.clearReportedAt = now
}

func (s *State) begin(now time.Duration, op *Operation) {
	op.beganAt = now
	s.ops[op.Instance] = op
	s.dirtyOps[op.Instance] = true
}

// finish ends an operation. Where the platform was told of it the record stays
// for a while.
func (s *State) finish(now time.Duration, op *Operation) {
	s.dirtyOps[op.Instance] = true
	if op.Phase == PhaseClearing {
		delete(s.ops, op.Instance)
		return
	}
	op.Phase, op.endedAt = PhaseOver, now
}

// dropExpired drops ended operations that the platform no longer remembers.
func (s *State) dropExpired(now time.Duration) {
	for name, op := range s.ops {
		if op.Phase == PhaseOver && now-op.endedAt > s.limits.HolderTTL {
			delete(s.ops, name)
			s.dirtyOps[name] = true
		}
	}
}

// activeOperation returns the operation under way on an instance, or nil.
func (s *State) activeOperation(instance string) *Operation {
	op := s.ops[instance]
	if op == nil || op.Phase == PhaseOver {
		return nil
	}
	return op
}
