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
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

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
	// Endpoint is the incarnation that the operation ends.
	Endpoint string `cbor:"6,keyasint,omitempty"`
	Phase    Phase  `cbor:"7,keyasint,omitempty"`
	// Holder gave the order, if any was given.
	Holder string `cbor:"8,keyasint,omitempty"`
	// Ended says that the platform has ended the incarnation.
	Ended bool `cbor:"9,keyasint,omitempty"`

	// OrderedMs is when the order was last given, on its holder's steady clock, and
	// OrderedIn that holder's epoch.
	OrderedMs int64 `cbor:"10,keyasint,omitempty"`
	OrderedIn int64 `cbor:"11,keyasint,omitempty"`

	// told: the pool's owner has heard that.
	told  bool
	since time.Duration
	// lasting: tasks that last were on the instance as the operation began.
	lasting bool
	// accepted is when the platform confirmed the order.
	accepted  time.Duration
	ordering  bool
	orderedAt time.Duration
	// over is when it ended.
	over time.Duration
	// recorded is when the operation was known to be durable.
	recorded time.Duration
	// clearAt is when the owner last said that nothing is left.
	clearAt time.Duration
	// clearFrom is when it first said so, without a contrary word since.
	clearFrom time.Duration
	cleared   bool
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
	// names are those of instances, in order.
	names []string
	// listedAt is when the instance list was asked for.
	listedAt time.Duration
	// wantsList: an order waits for a list that is newer than its owner's word.
	wantsList bool
	ops       map[string]*Operation
	waves     map[int]*Wave
	demand    map[string]*demand

	// reserved are instances that are kept for a wave's last part: moving from
	// pool to pool they would never be free for it.
	reserved map[string]bool
	// surplus is what each pool has beyond its need, in milli-cores, by the
	// last round.
	surplus map[string]float64
	// free is what all pools together, and the spare pool, have beyond their needs.
	free float64

	dirtyOps   map[string]bool
	dirtyWaves map[int]bool
	// released reports that a predecessor's release is still on record.
	released bool
	// quiet is until when an instance that a predecessor may have ordered about
	// is left alone.
	quiet map[string]time.Duration
	// claimedAt is when this holder took the duty over.
	claimedAt time.Duration
	// unfit are kinds of instances that the platform refused for a pool.
	unfit map[fit]bool
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

// fit is a kind of instance in a pool.
type fit struct{ kind, pool string }

// NewState returns the state of a duty that knows nothing.
func NewState(limits Limits) *State {
	return &State{limits: limits, pools: map[string]*PoolView{}, instances: map[string]Instance{}, ops: map[string]*Operation{},
		waves: map[int]*Wave{}, demand: map[string]*demand{}, dirtyOps: map[string]bool{}, dirtyWaves: map[int]bool{},
		surplus: map[string]float64{}, reserved: map[string]bool{}, unfit: map[fit]bool{}, quiet: map[string]time.Duration{}}
}

// Keys of the duty's records.
const (
	keyOperation = "o"
	keyWave      = "w"
	keyRelease   = "r"
	keyTick      = "t"
)

// tick is a holder's steady clock at its newest batch of records. Beside the times of
// its orders it says how old these were by then, whatever the time of day did.
type tick struct {
	Epoch     int64 `cbor:"1,keyasint"`
	ClaimedMs int64 `cbor:"2,keyasint"`
	NowMs     int64 `cbor:"3,keyasint"`
}

// ageOf is how long ago at least an operation's order was given as the tick was
// written. Of an earlier holder's order it is known that the tick's own has had the
// duty since.
func (t *tick) ageOf(op *Operation) time.Duration {
	if t == nil {
		return 0
	}
	since := t.ClaimedMs
	if op.OrderedIn == t.Epoch {
		since = op.OrderedMs
	}
	return time.Duration(max(0, t.NowMs-since)) * time.Millisecond
}

// release is written by a holder that gives the duty up in order: it gives no
// more orders, and these are the ages in ms of its last ones.
type release struct {
	AgesMs map[string]int64 `cbor:"1,keyasint"`
}

// Release returns the record with which a holder gives the duty up.
func (s *State) Release(now time.Duration) executor.Record {
	r := release{AgesMs: map[string]int64{}}
	for name, op := range s.ops {
		if op.orderedAt > 0 {
			r.AgesMs[name] = (now - op.orderedAt).Milliseconds()
		}
	}
	return executor.Record{Key: keyRelease, Value: executor.Encode(r)}
}

// Restore takes in the records of the duty's journal.
func (s *State) Restore(records []executor.Record, now time.Duration) error {
	var released *release
	var last *tick
	var restored []*Operation
	s.claimedAt = now
	for _, r := range records {
		var err error
		switch {
		case r.Key == "":
		case r.Key == keyTick:
			last = &tick{}
			err = cbor.Unmarshal(r.Value, last)
		case r.Key == keyRelease:
			released = &release{}
			err = cbor.Unmarshal(r.Value, released)
			s.released = true
		case r.Key[:1] == keyOperation:
			op := &Operation{since: now}
			if err = cbor.Unmarshal(r.Value, op); err == nil {
				restored = append(restored, op)
			}
		case r.Key[:1] == keyWave:
			w := &Wave{done: map[string]bool{}}
			if err = cbor.Unmarshal(r.Value, w); err == nil {
				for _, name := range w.Done {
					w.done[name] = true
				}
				s.waves[w.Number] = w
			}
		}
		if err != nil {
			return &executor.MalformedRecordError{Key: r.Key, Cause: err}
		}
	}
	for _, op := range restored {
		s.restoreOperation(op, last, now)
	}
	if released != nil {
		s.shortenQuiet(released, now)
	}
	return nil
}

// shortenQuiet applies what a predecessor said when it gave the duty up.
func (s *State) shortenQuiet(r *release, now time.Duration) {
	for name := range s.quiet {
		age, ordered := r.AgesMs[name]
		left := s.limits.HolderTTL - time.Duration(age)*time.Millisecond
		if !ordered {
			continue // by an earlier holder still
		}
		s.quiet[name] = now + max(0, left) + releaseMargin
	}
}

// releaseMargin covers an order that was on its way as the duty was given up.
const releaseMargin = 150 * time.Millisecond

// restoreOperation goes on with what a predecessor began. It recorded each order
// before it gave it, so that of all instances only those with such a record can
// still get one from it: they are left alone until it has surely fallen silent
// and the platform no longer counts its order as recent. What this node ordered
// itself, in an earlier tenure, needs no such care.
//
// An operation that is over gets no more orders, and how old its last one was is on
// record. Load: while demand goes by turns, most instances have been ordered about
// in the last few seconds. Left alone for as long as those under way, they stood
// idle for five seconds after each loss of a holder, while a queue's turn went by.
func (s *State) restoreOperation(op *Operation, last *tick, now time.Duration) {
	switch {
	case op.Phase == PhaseClearing || op.Holder == s.limits.Holder:
	case op.Phase == PhaseOver && last != nil:
		s.quiet[op.Instance] = now + max(0, s.limits.HolderTTL-last.ageOf(op)) + releaseMargin
	default:
		s.quiet[op.Instance] = now + s.limits.HolderTTL + orderSilence
	}
	if op.Phase == PhaseOver {
		op.over = now
	}
	op.recorded = now
	s.ops[op.Instance] = op
}

// orderSilence outlasts an order that a displaced holder sends with its last
// proof of the epoch, and the time that the call may take.
const orderSilence = proofMax + time.Second

// OperationsOf reads the endpoints of a pool that operations are about to clear,
// and those that they have ended of late, from the records of the duty's journal.
func OperationsOf(records []executor.Record, pool string) (leaving, ended []string) {
	for _, r := range records {
		var op Operation
		if r.Key == "" || r.Key[:1] != keyOperation || cbor.Unmarshal(r.Value, &op) != nil || op.From != pool || op.Endpoint == "" {
			continue
		}
		switch {
		case op.Ended:
			ended = append(ended, op.Endpoint)
		case op.Phase != PhaseOver:
			leaving = append(leaving, op.Endpoint)
		}
	}
	return leaving, ended
}

// EndTold takes in that a pool's owner knows of an incarnation's end.
func (s *State) EndTold(instance, endpoint string) {
	if op := s.ops[instance]; op != nil && op.Endpoint == endpoint {
		op.told = true
	}
}

// TakeRecords returns the records that have changed.
func (s *State) TakeRecords(now time.Duration) []executor.Record {
	var out []executor.Record
	for name := range s.dirtyOps {
		r := executor.Record{Key: keyOperation + name}
		if op := s.ops[name]; op != nil {
			r.Value = executor.Encode(op)
		}
		out = append(out, r)
	}
	for n := range s.dirtyWaves {
		w := s.waves[n]
		w.Done = w.Done[:0]
		for name := range w.done {
			w.Done = append(w.Done, name)
		}
		slices.Sort(w.Done)
		out = append(out, executor.Record{Key: keyWave + strconv.Itoa(n), Value: executor.Encode(w)})
	}
	if len(out) > 0 && s.released {
		s.released = false
		out = append(out, executor.Record{Key: keyRelease})
	}
	if len(out) > 0 {
		at := tick{Epoch: s.limits.Epoch, ClaimedMs: s.claimedAt.Milliseconds(), NowMs: now.Milliseconds()}
		out = append(out, executor.Record{Key: keyTick, Value: executor.Encode(at)})
	}
	clear(s.dirtyOps)
	clear(s.dirtyWaves)
	slices.SortFunc(out, func(a, b executor.Record) int { return slices.Compare([]byte(a.Key), []byte(b.Key)) })
	return out
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
	s.names = slices.Sorted(maps.Keys(s.instances))
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

// Saved takes in that all records taken so far are durable.
func (s *State) Saved(now time.Duration) {
	for _, op := range s.ops {
		if op.recorded == 0 {
			op.recorded = now
		}
	}
}

// Cleared takes in how many tasks an owner has left on an operation's endpoint.
// proven is a time at which the owner was still the newest. An owner that was
// displaced before the operation was recorded does not know it, and its
// successor, which has not read the record either, places tasks on the endpoint
// that it calls clear: only an owner proven later than the record counts. A word
// on an incarnation that has died meanwhile says nothing about its successor.
func (s *State) Cleared(now, proven time.Duration, instance, endpoint string, left int) {
	op := s.ops[instance]
	if op == nil || op.Endpoint != endpoint || op.recorded == 0 || proven < op.recorded {
		return
	}
	if left == 0 && !op.cleared {
		op.clearFrom = now
	}
	op.cleared = left == 0
	op.clearAt = now
}

func (s *State) begin(now time.Duration, op *Operation) {
	op.since = now
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
	op.Phase, op.over = PhaseOver, now
}

// expire drops ended operations that the platform no longer remembers.
func (s *State) expire(now time.Duration) {
	for name, op := range s.ops {
		if op.Phase == PhaseOver && now-op.over > s.limits.HolderTTL {
			delete(s.ops, name)
			s.dirtyOps[name] = true
		}
	}
}

// active returns the operation under way on an instance, or nil.
func (s *State) active(instance string) *Operation {
	op := s.ops[instance]
	if op == nil || op.Phase == PhaseOver {
		return nil
	}
	return op
}
