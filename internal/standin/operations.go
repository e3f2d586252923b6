package standin

import (
	"context"
	"time"

	"cyclamenwheel/internal/platform"
)

// opRecord remembers an operation for ever, which makes it idempotent. An
// aborted one, whose instance was lost on the way, may be asked for again.
type opRecord struct {
	op      platform.Operation
	aborted bool
}

// operate takes an operation. It returns once the operation is under way.
func (f *fleet) operate(op platform.Operation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[op.Instance]
	switch known := f.ops[op.ID]; {
	case op.ID == "":
		return &RequestError{Field: "operation", Detail: "needs an id"}
	case known != nil && known.op != op:
		return &ConflictError{Instance: op.Instance, Detail: "operation id was used for another operation"}
	case known != nil && !known.aborted:
		return nil
	case m == nil || m.ep == nil:
		return &UnknownInstanceError{ID: op.Instance}
	case m.op != "":
		return &ConflictError{Instance: op.Instance, Detail: "operation " + m.op + " is running"}
	case m.row.State == platform.StateGone || m.fenced:
		return &ConflictError{Instance: op.Instance, Detail: "instance is gone"}
	}
	f.begin(m, op)
	return nil
}

func (f *fleet) begin(m *member, op platform.Operation) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.ops[op.ID] = &opRecord{op: op}
	m.op, m.cancel = op.ID, cancel
	m.row.State, m.down = platform.StateLeaving, causeOperation
	m.ep.setState(platform.StateLeaving, m.row.Pool)
	f.publish()
	drain, reboot := f.drain, f.reboot
	// Taken here, under the lock: if the instance is lost and back before the
	// goroutine runs, it must not shut the new boot.
	boot := m.ep.current()
	f.wg.Go(func() {
		defer cancel()
		if !boot.drain(ctx, drain) || !f.rebooting(ctx, m) || !sleep(ctx, reboot) || !f.back(ctx, m, op) {
			f.abort(m, op)
		}
	})
}

// rebooting is the step after the drain.
func (f *fleet) rebooting(ctx context.Context, m *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	m.row.State = platform.StateRebooting
	f.tasks.endInstance(m.row.ID, platform.ReasonReboot)
	f.publish()
	return true
}

// back is the last step: the instance is live in its new pool.
func (f *fleet) back(ctx context.Context, m *member, op platform.Operation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	m.row.Pool = op.Pool
	if op.Revision > 0 {
		m.revision = op.Revision
	}
	if m.powerOn() != nil {
		return false
	}
	m.row.Operation, m.op, m.cancel = op.ID, "", nil
	f.publish()
	return true
}

func (f *fleet) abort(m *member, op platform.Operation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops[op.ID].aborted = true
	if m.op == op.ID {
		m.op, m.cancel = "", nil
	}
}

// fence stops an instance for good, once per operation id: a late repetition
// must not stop the instance that has come back in its place.
func (f *fleet) fence(req platform.FenceRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[req.Instance]
	switch {
	case req.Operation == "":
		return &RequestError{Field: "operation", Detail: "missing"}
	case f.fences[req.Operation]:
		return nil
	case m == nil:
		return &UnknownInstanceError{ID: req.Instance}
	}
	f.fences[req.Operation] = true
	if !m.fenced {
		m.fenced = true
		f.lose(m)
		f.publish()
	}
	return nil
}

// lose takes an instance away at once.
func (f *fleet) lose(m *member) {
	if m.cancel != nil {
		m.cancel()
	}
	m.op, m.cancel = "", nil
	m.row.State, m.down = platform.StateGone, causeForced
	if m.ep != nil {
		m.ep.powerOff(causeForced)
		f.tasks.endInstance(m.row.ID, platform.ReasonLost)
	}
}

// change applies a control call to an instance.
func (f *fleet) change(id string, c InstanceChange) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		if c.Entry == nil {
			return &UnknownInstanceError{ID: id}
		}
		m = &member{boots: 1, row: platform.Instance{ID: id, Kind: platform.KindEntry,
			State: platform.StateLive, BootID: bootID(id, 1)}}
		f.members[id] = m
	}
	if c.Entry != nil {
		if m.ep != nil {
			return &ConflictError{Instance: id, Detail: "is a worker"}
		}
		m.row.Zone, m.row.Addr = c.Entry.Zone, c.Entry.Addr
	}
	if err := f.setState(m, c.State); err != nil {
		return err
	}
	if c.Addr != "" {
		m.row.Addr = c.Addr
	}
	if c.Pool != nil {
		m.row.Pool = *c.Pool
		if m.ep != nil {
			m.ep.setState(m.row.State, m.row.Pool)
		}
	}
	f.publish()
	return nil
}

func (f *fleet) setState(m *member, state platform.InstanceState) error {
	switch state {
	case "":
	case platform.StateGone:
		f.lose(m)
	case platform.StateLeaving:
		if m.row.State != platform.StateLive {
			return &ConflictError{Instance: m.row.ID, Detail: "is not live"}
		}
		m.row.State, m.down = platform.StateLeaving, causeForced
		if m.ep != nil {
			m.ep.setState(platform.StateLeaving, m.row.Pool)
		}
	case platform.StateLive:
		// Whatever it was, it comes back under a new boot.
		f.lose(m)
		m.fenced = false
		return m.powerOn()
	default:
		return &RequestError{Field: "state", Detail: string(state)}
	}
	return nil
}

// remove takes an instance off the list.
func (f *fleet) remove(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return &UnknownInstanceError{ID: id}
	}
	f.lose(m)
	if m.ep != nil {
		m.ep.port.release()
	}
	delete(f.members, id)
	f.publish()
	return nil
}

// endpointOf finds the endpoint of a worker.
func (f *fleet) endpointOf(id string) (*endpoint, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && m.ep != nil {
		return m.ep, nil
	}
	return nil, &UnknownInstanceError{ID: id}
}

// sleep waits for d and reports whether ctx lasted.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
