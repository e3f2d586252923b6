package shards

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/planlease"
)

// DutyStatus is one duty, for dumps.
type DutyStatus struct {
	Duty  string `json:"duty"`
	Owner string `json:"owner"`
	Addr  string `json:"addr"`
	Here  bool   `json:"here"`
	Ready bool   `json:"ready"`
	Epoch int64  `json:"epoch,omitempty"`
}

// Status is what this node knows of all duties.
type Status struct {
	Duties []DutyStatus `json:"duties"`
	// MembersAgeMs is how old the reading of the members is.
	MembersAgeMs int64 `json:"members_age_ms"`
}

// fleetName stands for the duty over instances where people read.
const fleetName = "instances"

// Status returns who has which duty.
func (m *Manager) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{MembersAgeMs: (planlease.Boottime() - m.membersAt).Milliseconds()}
	for name, owner := range m.owners {
		d := DutyStatus{Duty: name, Owner: owner.Node, Addr: owner.Addr}
		if name == fleetDuty {
			d.Duty = fleetName
		}
		if h := m.running[name]; h != nil {
			d.Here, d.Ready, d.Epoch = true, h.ready || name == fleetDuty && h.epoch > 0, h.epoch
		}
		s.Duties = append(s.Duties, d)
	}
	slices.SortFunc(s.Duties, func(a, b DutyStatus) int { return cmp.Compare(a.Duty, b.Duty) })
	return s
}

// dumpTimeout bounds the wait for a pool's control goroutine.
const dumpTimeout = time.Second

// Dump returns the state of the pools that this node owns.
func (m *Manager) Dump() []executor.PoolDump {
	m.mu.Lock()
	runners := m.readyLocked()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	var out []executor.PoolDump
	for _, r := range runners {
		got := make(chan executor.PoolDump, 1)
		if !r.post(func(now time.Duration) { got <- r.core.Dump(now) }) {
			continue
		}
		select {
		case d := <-got:
			out = append(out, d)
		case <-ctx.Done():
			return out
		}
	}
	return out
}
