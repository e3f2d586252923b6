package shards

import (
	"context"
	"time"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/pause"
	"cyclamenwheel/platform"
)

// lookFirst reads the members before this process joins them. Load: all nodes
// start together, after all have lost power. Where nobody is a member yet, weak
// nodes wait a little longer than strong ones and find these there: joined all at
// once they would hide one another, and each duty change hands twice within a
// second.
func (m *Manager) lookFirst(ctx context.Context) {
	m.refreshMembers(ctx, 0)
	self, ok := parseMember(m.opts.Member)
	m.mu.Lock()
	alone := len(m.members) == 0
	m.mu.Unlock()
	if ok && alone {
		pause.For(ctx, time.Duration((1-min(1, self.processor))*float64(firstJoinSpread)))
		m.refreshMembers(ctx, 0)
	}
}

// stay is how this process stands with the group.
type stay struct {
	generation int64
	// joined: the group counts this process, or may.
	joined bool
	// created: the group's topic is known to exist; failing: the newest call on
	// the group went wrong.
	created, failing bool
}

// stayOrGo joins the group or leaves it, as it needs this process or not. It
// returns how old the reading of the members may be.
func (m *Manager) stayOrGo(ctx context.Context, s *stay) time.Duration {
	if !m.needed(s.joined) {
		if s.joined {
			s.joined = !m.leaveGroup(ctx, "others are better fit for the duties")
		}
		return outsiderEvery
	}
	err := m.createTopic(ctx, &s.created)
	var got platform.Assignment
	if err == nil {
		s.joined = true
		got, err = m.join(ctx, s.generation)
	}
	if s.failing != (err != nil) {
		s.failing = err != nil
		m.logMembership(err)
	}
	if err == nil && got.Generation != s.generation {
		s.generation = got.Generation
		return 0
	}
	return membersEvery
}

// join joins the group or stays in it. An answer that is lost is asked for again
// within a fraction of memberTTL: waited for to the end of a long timeout it left
// the member silent for longer than that, and the group took it for gone.
func (m *Manager) join(ctx context.Context, generation int64) (platform.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	got, _, err := attempts.Repeat(ctx, m.opts.Store.Attempts, attempts.ClassifyStoreError, func(ctx context.Context) (platform.Assignment, error) {
		return m.opts.Membership.Join(ctx, group, m.opts.Member, groupTopic, memberTTL, generation)
	})
	return got, err
}

// leaveGroup leaves the group and reports whether that is certain. It is bounded as
// a join is: a process that wants to leave while the store is away still follows its
// members.
func (m *Manager) leaveGroup(ctx context.Context, reason string) bool {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	_, _, err := attempts.Repeat(ctx, m.opts.Store.Attempts, attempts.ClassifyStoreError, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, m.opts.Membership.Leave(ctx, group, m.opts.Member)
	})
	if err != nil {
		m.opts.Logger.Warn("group not left", "error", err.Error())
		return false
	}
	m.opts.Logger.Info("group left", "reason", reason)
	return true
}

// awaitJoin waits until the next join is due. It reports whether a member that
// left said so, and the members should be read at once.
func (m *Manager) awaitJoin(ctx context.Context) (kicked bool) {
	t := time.NewTimer(joinEvery)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.kick:
		return true
	}
	return false
}

// createTopic makes the group's topic: a topic has partitions to deal out once
// something was appended to it, if only nothing.
func (m *Manager) createTopic(ctx context.Context, created *bool) error {
	if *created {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	err := m.opts.Store.Put(ctx, groupTopic, platform.Writer{Name: group, Epoch: 1}, nil)
	*created = err == nil
	return err
}

func (m *Manager) logMembership(err error) {
	if err != nil {
		m.opts.Logger.Warn("dependency lost", "dependency", "store", "use", "membership", "error", err.Error())
		return
	}
	m.opts.Logger.Info("dependency regained", "dependency", "store", "use", "membership")
}

// leaveTimeout bounds what a stopping process spends on giving back.
const leaveTimeout = time.Second

func (m *Manager) leave() {
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
	m.sayLeft(ctx)
	m.leaveGroup(ctx, "stopping")
}

// spreadAgain works with the last reading of the members, less those that have
// said that they leave: a slow store would hold up each of their duties by the
// time of a reading.
func (m *Manager) spreadAgain() {
	m.mu.Lock()
	pools, rows := m.pools, m.rows
	m.mu.Unlock()
	m.spreadDuties(pools, rows)
}
