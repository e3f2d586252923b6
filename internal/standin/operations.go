package standin

import (
	"context"
	"time"

	"cyclamenwheel/internal/platform"
)

// opRecord is kept forever, which makes operations idempotent. An operation that
// was aborted because its instance was lost may be requested again.
type opRecord struct {
	op      platform.Operation
	aborted bool
}

// requestOperation starts an operation and returns without waiting for it. A
// repeated request for the same operation has no effect.
func (f *fleet) requestOperation(op platform.Operation) error {
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
	f.startOperation(m, op)
	return nil
}

func (f *fleet) startOperation(m *member, op platform.Operation) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.ops[op.ID] = &opRecord{op: op}
	m.op, m.cancel = op.ID, cancel
	m.row.State, m.downCause = platform.StateLeaving, causeOperation
	m.ep.setState(platform.StateLeaving, m.row.Pool)
	f.publish()
	drain, reboot := f.drainLimit, f.rebootTime
	// The session is read while the lock is held: if the instance is lost and booted
	// again before the goroutine runs, the operation must not close the new session.
	boot := m.ep.currentSession()
	f.wg.Go(func() {
		defer cancel()
		if !boot.drain(ctx, drain) || !f.markRebooting(ctx, m) || !sleep(ctx, reboot) || !f.completeOperation(ctx, m, op) {
			f.abortOperation(m, op)
		}
	})
}

// markRebooting follows the drain: it marks the instance as rebooting and ends
// its tasks.
func (f *fleet) markRebooting(ctx context.Context, m *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	m.row.State = platform.StateRebooting
	f.tasks.stopTasksOf(m.row.ID, platform.ReasonReboot)
	f.publish()
	return true
}

// completeOperation is the last step: it boots the instance in its new pool.
func (f *fleet) completeOperation(ctx context.Context, m *member, op platform.Operation) bool {
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

func (f *fleet) abortOperation(m *member, op platform.Operation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops[op.ID].aborted = true
	if m.op == op.ID {
		m.op, m.cancel = "", nil
	}
}

// fence stops an instance permanently, once per operation id: a late duplicate
// must not stop the instance after it has been booted again.
func (f *fleet) fence(req platform.FenceRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[req.Instance]
	switch {
	case req.Operation == "":
		return &RequestError{Field: "operation", Detail: "missing"}
	case f.fenceIDs[req.Operation]:
		return nil
	case m == nil:
		return &UnknownInstanceError{ID: req.Instance}
	}
	f.fenceIDs[req.Operation] = true
	if !m.fenced {
		m.fenced = true
		f.forceDown(m)
		f.publish()
	}
	return nil
}

// forceDown takes an instance down immediately, without a drain.
func (f *fleet) forceDown(m *member) {
	if m.cancel != nil {
		m.cancel()
	}
	m.op, m.cancel = "", nil
	m.row.State, m.downCause = platform.StateGone, causeForced
	if m.ep != nil {
		m.ep.powerOff(causeForced)
		f.tasks.stopTasksOf(m.row.ID, platform.ReasonLost)
	}
}

// changeInstance applies a control API call to an instance.
func (f *fleet) changeInstance(id string, c InstanceChange) error {
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
		f.forceDown(m)
	case platform.StateLeaving:
		if m.row.State != platform.StateLive {
			return &ConflictError{Instance: m.row.ID, Detail: "is not live"}
		}
		m.row.State, m.downCause = platform.StateLeaving, causeForced
		if m.ep != nil {
			m.ep.setState(platform.StateLeaving, m.row.Pool)
		}
	case platform.StateLive:
		// Any previous state ends; the instance comes back with a new boot id.
		f.forceDown(m)
		m.fenced = false
		return m.powerOn()
	default:
		return &RequestError{Field: "state", Detail: string(state)}
	}
	return nil
}

// removeInstance takes an instance down and removes it from the list.
func (f *fleet) removeInstance(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return &UnknownInstanceError{ID: id}
	}
	f.forceDown(m)
	if m.ep != nil {
		m.ep.port.release()
	}
	delete(f.members, id)
	f.publish()
	return nil
}

// endpointOf returns the endpoint of a worker.
func (f *fleet) endpointOf(id string) (*endpoint, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && m.ep != nil {
		return m.ep, nil
	}
	return nil, &UnknownInstanceError{ID: id}
}

// sleep waits for d and reports whether it elapsed before ctx ended.
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
