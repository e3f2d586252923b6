package shards

import (
	"context"
	"time"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/pause"
	"cyclamenwheel/platform"
)

// readMembersBeforeJoin reads the members before this process joins the group. Load: all
// nodes start together after a power failure. If the group is empty, weak nodes wait a
// little longer than strong ones and then find those: if all joined at once, the group would
// show only some of them, and each duty would change owners twice within a second.
func (m *Manager) readMembersBeforeJoin(ctx context.Context) {
	m.refreshMembers(ctx, 0)
	self, ok := parseMember(m.opts.Member)
	m.mu.Lock()
	empty := len(m.members) == 0
	m.mu.Unlock()
	if ok && empty {
		pause.For(ctx, time.Duration((1-min(1, self.processor))*float64(maxFirstJoinDelay)))
		m.refreshMembers(ctx, 0)
	}
}

// groupState is this process's state in the group.
type groupState struct {
	generation int64
	// joined: the group counts this process as a member, or may do so.
	joined bool
	// created: the group's topic is known to exist; failing: the last call on the group
	// failed.
	created, failing bool
}

// joinOrLeave joins the group if it needs this process, or leaves it otherwise. It returns
// the maximum age of the next reading of the members.
func (m *Manager) joinOrLeave(ctx context.Context, s *groupState) time.Duration {
	if !m.isNeeded(s.joined) {
		if s.joined {
			s.joined = !m.leaveGroup(ctx, "other members are better suited for the duties")
		}
		return nonMemberInterval
	}
	err := m.createGroupTopic(ctx, &s.created)
	var got platform.Assignment
	if err == nil {
		s.joined = true
		got, err = m.join(ctx, s.generation)
	}
	if s.failing != (err != nil) {
		s.failing = err != nil
		m.logMembershipChange(err)
	}
	if err == nil && got.Generation != s.generation {
		s.generation = got.Generation
		return 0
	}
	return membersInterval
}

// join joins the group or renews the membership. A lost answer is requested again within a
// fraction of memberTTL: a single attempt with a long timeout could last longer than
// memberTTL, and the group would drop the member.
func (m *Manager) join(ctx context.Context, generation int64) (platform.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	got, _, err := attempts.Repeat(ctx, m.opts.Store.Attempts, attempts.ClassifyStoreError, func(ctx context.Context) (platform.Assignment, error) {
		return m.opts.Membership.Join(ctx, group, m.opts.Member, groupTopic, memberTTL, generation)
	})
	return got, err
}

// leaveGroup leaves the group and reports whether that is certain. It is bounded like a
// join: a process that wants to leave while the store is unavailable still follows the
// members.
func (m *Manager) leaveGroup(ctx context.Context, reason string) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, _, err := attempts.Repeat(ctx, m.opts.Store.Attempts, attempts.ClassifyStoreError, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, m.opts.Membership.Leave(ctx, group, m.opts.Member)
	})
	if err != nil {
		m.opts.Logger.Warn("leaving the group failed", "error", err.Error())
		return false
	}
	m.opts.Logger.Info("group left", "reason", reason)
	return true
}

// awaitJoin waits until the next join is due. It returns true if it was woken because the
// duties should be distributed at once.
func (m *Manager) awaitJoin(ctx context.Context) (woken bool) {
	t := time.NewTimer(joinInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.wakeup:
		return true
	}
	return false
}

// createGroupTopic creates the group's topic: a topic has partitions to assign only after an
// append, which may be empty.
func (m *Manager) createGroupTopic(ctx context.Context, created *bool) error {
	if *created {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := m.opts.Store.Put(ctx, groupTopic, platform.Writer{Name: group, Epoch: 1}, nil)
	*created = err == nil
	return err
}

// logMembershipChange logs that calls on the group have begun to fail or succeed again.
func (m *Manager) logMembershipChange(err error) {
	if err != nil {
		m.opts.Logger.Warn("dependency lost", "dependency", "store", "use", "membership", "error", err.Error())
		return
	}
	m.opts.Logger.Info("dependency regained", "dependency", "store", "use", "membership")
}

// leaveTimeout bounds the time that a stopping process spends on leaving the group.
const leaveTimeout = time.Second

// stop ends all duties, notifies the peers and leaves the group.
func (m *Manager) stop() {
	m.mu.Lock()
	m.leaving = true
	for name, h := range m.running {
		h.cancel()
		delete(m.running, name)
	}
	m.mu.Unlock()
	m.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	m.notifyLeaving(ctx)
	m.leaveGroup(ctx, "stopping")
}

// redistributeDuties distributes the duties by the last reading of the members, without the
// departed ones. Waiting for a new reading would delay each of their duties while the store
// is slow.
func (m *Manager) redistributeDuties() {
	m.mu.Lock()
	pools, partitionMembers := m.pools, m.partitionMembers
	m.mu.Unlock()
	m.distributeDuties(pools, partitionMembers)
}
