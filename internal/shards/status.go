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

// Status is what this node knows about all duties.
type Status struct {
	Duties []DutyStatus `json:"duties"`
	// MembersAgeMs is the age of the last reading of the members.
	MembersAgeMs int64 `json:"members_age_ms"`
}

// fleetDisplayName is the name shown to operators for the duty that manages instances.
const fleetDisplayName = "instances"

// Status returns the owner of each duty.
func (m *Manager) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{MembersAgeMs: (planlease.Boottime() - m.membersReadAt).Milliseconds()}
	for name, owner := range m.owners {
		d := DutyStatus{Duty: name, Owner: owner.Node, Addr: owner.Addr}
		if name == fleetDuty {
			d.Duty = fleetDisplayName
		}
		if running := m.running[name]; running != nil {
			d.Here, d.Ready, d.Epoch = true, running.ready || name == fleetDuty && running.epoch > 0, running.epoch
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
	runners := m.readyRunnersLocked()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	var out []executor.PoolDump
	for _, r := range runners {
		reply := make(chan executor.PoolDump, 1)
		if !r.post(func(now time.Duration) { reply <- r.core.Dump(now) }) {
			continue
		}
		select {
		case d := <-reply:
			out = append(out, d)
		case <-ctx.Done():
			return out
		}
	}
	return out
}
