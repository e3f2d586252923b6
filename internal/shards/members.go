package shards

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cyclamenwheel/internal/planlease"
)

// MemberName is a process's name in the group: started is when it began, by its
// own time of day, and processor its share of a core.
func MemberName(node, addr, boot string, started time.Time, processor float64) string {
	return strings.Join([]string{node, addr, boot, strconv.FormatInt(started.UnixMilli(), 10),
		strconv.FormatFloat(processor, 'g', -1, 64)}, memberSeparator)
}

// Owner is where a pool's owner is reached.
type Owner struct{ Node, Addr string }

// member is a process in the group, by its whole name there.
type member struct {
	Owner
	name string
	// startedMs is when the process began, in ms since 1970 by its own clock.
	startedMs int64
	processor float64
}

func parseMember(name string) (member, bool) {
	parts := strings.Split(name, memberSeparator)
	if len(parts) != 5 {
		return member{}, false
	}
	started, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return member{}, false
	}
	processor, err := strconv.ParseFloat(parts[4], 64)
	return member{Owner: Owner{Node: parts[0], Addr: parts[1]}, name: name, startedMs: started, processor: processor}, err == nil
}

// left takes in that a member leaves the group. The store need not have heard yet.
func (m *Manager) left(name string) {
	m.mu.Lock()
	m.departed[name] = true
	m.mu.Unlock()
	m.wake()
}

// wake lets Run spread and assign the duties at once.
func (m *Manager) wake() {
	select {
	case m.kick <- struct{}{}:
	default: // one is enough
	}
}

// sayLeft tells the peers that this member leaves, so that its duties don't wait
// for their next joins, nor for a store that is slow to count it out.
func (m *Manager) sayLeft(ctx context.Context) {
	m.mu.Lock()
	_, known := membersOf(m.rows)
	m.mu.Unlock()
	var wg sync.WaitGroup
	for node := range known {
		if node != m.opts.Node {
			wg.Go(func() { m.opts.SayLeft(ctx, node) })
		}
	}
	wg.Wait()
}

// refreshMembers reads the members where the last reading is older than age.
func (m *Manager) refreshMembers(ctx context.Context, age time.Duration) {
	now := planlease.Boottime()
	m.mu.Lock()
	due := m.membersAt == 0 || now-m.membersAt >= age
	if due {
		m.membersAt = now
	}
	pools := m.pools
	m.mu.Unlock()
	if !due {
		return
	}
	rows, err := m.opts.Membership.Owners(ctx, group)
	if err == nil {
		m.refreshHolders(ctx, rows)
		m.keepRows(rows)
	} else if rows, err = m.askPeers(ctx, err); err != nil {
		m.opts.Logger.Debug("members not read", "error", err.Error())
		return
	}
	m.spreadDuties(pools, rows)
}

// keepRows remembers a reading of the store for peers that can't read it. Departed
// members that the store no longer counts need not be remembered beside it.
func (m *Manager) keepRows(rows map[int]string) {
	present := map[string]bool{}
	for _, name := range rows {
		present[name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.departed, func(name string, _ bool) bool { return !present[name] })
	m.rows, m.rowsAt = rows, planlease.Boottime()
}

const (
	// rowsFresh is how old a peer's reading may be to be believed.
	rowsFresh = 3 * time.Second
	// askLimit and askTimeout bound what a node spends on asking peers.
	askLimit   = 3
	askTimeout = 250 * time.Millisecond
)

// askPeers learns the members from peers. A store that turns some nodes away
// while it serves the others leaves these nodes' callers without answers
// otherwise: they go on asking owners that have changed.
// Without any it returns the failure to read the store.
func (m *Manager) askPeers(ctx context.Context, failure error) (map[int]string, error) {
	m.mu.Lock()
	_, known := membersOf(m.rows)
	m.mu.Unlock()
	asked := 0
	for node := range known { // in random order
		if node == m.opts.Node || asked == askLimit {
			continue
		}
		asked++
		if rows, ok := m.askPeer(ctx, node); ok {
			return rows, nil
		}
	}
	return nil, failure
}

func (m *Manager) askPeer(ctx context.Context, node string) (map[int]string, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	got, err := m.opts.AskMembers(ctx, node)
	if err != nil || time.Duration(got.AgeMs)*time.Millisecond > rowsFresh || len(got.Rows) == 0 {
		return nil, false
	}
	m.opts.Logger.Info("members learnt from a peer", "peer", node, "age_ms", got.AgeMs, "members", len(got.Rows))
	m.mergeHolders(got.Holders)
	return got.Rows, true
}

// lastRows answers a peer that can't read the store.
func (m *Manager) lastRows() MembersResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rowsAt == 0 {
		return MembersResult{AgeMs: math.MaxInt32}
	}
	return MembersResult{Rows: m.rows, Holders: maps.Clone(m.holders), AgeMs: (planlease.Boottime() - m.rowsAt).Milliseconds()}
}

func membersOf(rows map[int]string) (members []member, peers map[string]string) {
	peers = map[string]string{}
	for _, name := range slices.Compact(slices.Sorted(maps.Values(rows))) {
		if b, ok := parseMember(name); ok {
			members = append(members, b)
			peers[b.Node] = b.Addr
		}
	}
	return members, peers
}
