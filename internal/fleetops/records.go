package fleetops

import (
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/quota"
)

// Keys of the duty's records.
const (
	keyOperation = "o"
	keyWave      = "w"
	keyRelease   = "r"
	keyClock     = "t"
)

// clockRecord is a holder's monotonic clock at its latest batch of records. Together with the
// times of its orders it gives their age at that point, independent of the wall clock.
type clockRecord struct {
	Epoch     int64 `cbor:"1,keyasint"`
	ClaimedMs int64 `cbor:"2,keyasint"`
	NowMs     int64 `cbor:"3,keyasint"`
	// Demand is the measured demand by pool, and WallMs the wall-clock time of the record, in ms
	// since 1970.
	Demand map[string]demandRecord `cbor:"4,keyasint,omitempty"`
	WallMs int64                   `cbor:"5,keyasint,omitempty"`
}

// demandRecord is a pool's demand, in milli-cores.
type demandRecord struct {
	Rate     float64 `cbor:"1,keyasint"`
	SlowRate float64 `cbor:"2,keyasint"`
}

// minOrderAge is the least time that had passed since an operation's order when the record was
// written. An order of an earlier holder is at least as old as the claim of the record's holder.
func (c *clockRecord) minOrderAge(op *Operation) time.Duration {
	if c == nil {
		return 0
	}
	since := c.ClaimedMs
	if op.OrderedEpoch == c.Epoch {
		since = op.OrderedMs
	}
	return time.Duration(max(0, c.NowMs-since)) * time.Millisecond
}

// release is written by a holder that gives up the duty in an orderly way: it sends no more
// orders, and AgesMs are the ages of its last ones in ms.
type release struct {
	AgesMs map[string]int64 `cbor:"1,keyasint"`
}

// Release returns the record with which a holder gives up the duty.
func (s *State) Release(now time.Duration) executor.Record {
	r := release{AgesMs: map[string]int64{}}
	for name, op := range s.ops {
		if op.orderedAt > 0 {
			r.AgesMs[name] = (now - op.orderedAt).Milliseconds()
		}
	}
	return executor.Record{Key: keyRelease, Value: executor.Encode(r)}
}

// Restore restores the state from the duty's records; wallMs is the wall-clock time in ms since
// 1970.
func (s *State) Restore(records []executor.Record, now time.Duration, wallMs int64) error {
	var released *release
	var clock *clockRecord
	var restored []*Operation
	s.claimedAt = now
	for _, r := range records {
		var err error
		switch {
		case r.Key == "":
		case r.Key == keyClock:
			clock = &clockRecord{}
			err = cbor.Unmarshal(r.Value, clock)
		case r.Key == keyRelease:
			released = &release{}
			err = cbor.Unmarshal(r.Value, released)
			s.releaseOnRecord = true
		case r.Key[:1] == keyOperation:
			op := &Operation{beganAt: now}
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
		s.restoreOperation(op, clock, now)
	}
	if clock != nil {
		s.restoreDemand(clock.Demand, time.Duration(wallMs-clock.WallMs)*time.Millisecond)
	}
	if released != nil {
		s.applyRelease(released, now)
	}
	return nil
}

// applyRelease shortens the wait before new orders by the order ages in a predecessor's release.
func (s *State) applyRelease(r *release, now time.Duration) {
	for name := range s.noOrdersUntil {
		age, ordered := r.AgesMs[name]
		left := s.limits.HolderTTL - time.Duration(age)*time.Millisecond
		if !ordered {
			continue // ordered by a holder before the predecessor
		}
		s.noOrdersUntil[name] = now + max(0, left) + releaseMargin
	}
}

// releaseMargin covers an order that was in flight when the duty was given up.
const releaseMargin = 150 * time.Millisecond

// restoreOperation continues a predecessor's operation. A holder records each order before it
// sends it, so only instances with such a record can still get an order from the predecessor. They
// get no order until the predecessor can no longer send one and the platform no longer counts its
// order as recent. Orders that this node sent in an earlier tenure need no such wait.
//
// An operation that has ended gets no more orders, and the age of its last one is on record. Load:
// during bursts in rotation, most instances have been ordered in the last few seconds. Made to
// wait as long as operations in progress, they stood idle for five seconds after each loss of a
// holder, while a queue's burst passed.
func (s *State) restoreOperation(op *Operation, clock *clockRecord, now time.Duration) {
	switch {
	case op.Phase == PhaseVacating || op.Holder == s.limits.Holder:
	case op.Phase == PhaseEnded && clock != nil:
		s.noOrdersUntil[op.Instance] = now + max(0, s.limits.HolderTTL-clock.minOrderAge(op)) + releaseMargin
	default:
		s.noOrdersUntil[op.Instance] = now + s.limits.HolderTTL + lateOrderWindow
	}
	if op.Phase == PhaseEnded {
		op.endedAt = now
	}
	op.durableAt = now
	s.ops[op.Instance] = op
}

// lateOrderWindow outlasts an order that a displaced holder sends with its last proof of the
// epoch, and the time that the call may take.
const lateOrderWindow = maxProofAge + time.Second

// OperationsOf reads, from the duty's records, the endpoints of a pool that operations are about
// to end and the incarnations that operations have recently ended.
func OperationsOf(records []executor.Record, pool string) (leaving []string, ended []executor.Incarnation) {
	for _, r := range records {
		var op Operation
		if r.Key == "" || r.Key[:1] != keyOperation || cbor.Unmarshal(r.Value, &op) != nil || op.From != pool || op.Endpoint == "" {
			continue
		}
		switch {
		case op.Ended:
			ended = append(ended, executor.Incarnation{ID: op.Endpoint, StartedMs: op.StartedMs})
		case op.Phase != PhaseEnded:
			leaving = append(leaving, op.Endpoint)
		}
	}
	return leaving, ended
}

// SharesOf reads a pool's shares of accounts' limits from the duty's records.
func SharesOf(records []executor.Record, pool string) ([]quota.Grant, error) {
	var shares []quota.Record
	for _, r := range records {
		if quota.IsRecord(r.Key) {
			shares = append(shares, quota.Record(r))
		}
	}
	return quota.GrantsOf(shares, pool)
}

// TakeRecords returns the records that have changed since the last call; wallMs is the wall-clock
// time in ms since 1970.
func (s *State) TakeRecords(now time.Duration, wallMs int64) []executor.Record {
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
	if len(out) > 0 && s.releaseOnRecord {
		s.releaseOnRecord = false
		out = append(out, executor.Record{Key: keyRelease})
	}
	if len(out) > 0 {
		out = append(out, s.ClockRecord(now, wallMs))
	}
	clear(s.dirtyOps)
	clear(s.dirtyWaves)
	slices.SortFunc(out, func(a, b executor.Record) int { return slices.Compare([]byte(a.Key), []byte(b.Key)) })
	return out
}

// ClockRecord returns the record of this holder's clocks and measured demand. It is written with
// each batch and each proof of the epoch; a successor takes the demand to be as old as this
// record.
func (s *State) ClockRecord(now time.Duration, wallMs int64) executor.Record {
	return executor.Record{Key: keyClock, Value: executor.Encode(clockRecord{Epoch: s.limits.Epoch,
		ClaimedMs: s.claimedAt.Milliseconds(), NowMs: now.Milliseconds(), Demand: s.demandRecords(), WallMs: wallMs})}
}

// Saved marks all records returned by TakeRecords as durable.
func (s *State) Saved(now time.Duration) {
	for _, op := range s.ops {
		if op.durableAt == 0 {
			op.durableAt = now
		}
	}
}
