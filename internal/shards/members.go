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

// MemberName returns a process's name in the group. boot identifies the process, started is
// its start by its own wall clock, and processor is its CPU share in cores.
func MemberName(node, addr, boot string, started time.Time, processor float64) string {
	return strings.Join([]string{node, addr, boot, strconv.FormatInt(started.UnixMilli(), 10),
		strconv.FormatFloat(processor, 'g', -1, 64)}, memberSeparator)
}

// Owner is the node of a pool's owner and its address for peers.
type Owner struct{ Node, Addr string }

// member is a process in the group; name is its full name there.
type member struct {
	Owner
	name string
	// startedMs is the process's start in ms since 1970 by its own clock.
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

// markDeparted records that a member leaves the group, possibly before the store does.
func (m *Manager) markDeparted(name string) {
	m.mu.Lock()
	m.departed[name] = true
	m.mu.Unlock()
	m.wake()
}

// wake makes Run distribute the duties at once.
func (m *Manager) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// notifyLeaving notifies the peers that this member leaves, so that its duties move without
// waiting for the peers' next joins or for a slow store.
func (m *Manager) notifyLeaving(ctx context.Context) {
	m.mu.Lock()
	_, peers := parseMembers(m.partitionMembers)
	m.mu.Unlock()
	var wg sync.WaitGroup
	for node := range peers {
		if node != m.opts.Node {
			wg.Go(func() { m.opts.NotifyLeaving(ctx, node) })
		}
	}
	wg.Wait()
}

// refreshMembers reads the members if the last reading is older than maxAge.
func (m *Manager) refreshMembers(ctx context.Context, maxAge time.Duration) {
	now := planlease.Boottime()
	m.mu.Lock()
	due := m.membersReadAt == 0 || now-m.membersReadAt >= maxAge
	if due {
		m.membersReadAt = now
	}
	pools := m.pools
	m.mu.Unlock()
	if !due {
		return
	}
	partitionMembers, err := m.opts.Membership.Owners(ctx, group)
	if err == nil {
		m.refreshHolders(ctx, partitionMembers)
		m.storePartitionMembers(partitionMembers)
	} else if partitionMembers, err = m.membersFromPeers(ctx, err); err != nil {
		m.opts.Logger.Debug("reading the members failed", "error", err.Error())
		return
	}
	m.distributeDuties(pools, partitionMembers)
}

// storePartitionMembers keeps a reading of the store, also for peers that can't read it, and
// forgets departed members that the store no longer lists.
func (m *Manager) storePartitionMembers(partitionMembers map[int]string) {
	present := map[string]bool{}
	for _, name := range partitionMembers {
		present[name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.departed, func(name string, _ bool) bool { return !present[name] })
	m.partitionMembers, m.partitionMembersReadAt = partitionMembers, planlease.Boottime()
}

const (
	// maxPeerReadingAge is the maximum age of a peer's reading that is used.
	maxPeerReadingAge = 3 * time.Second
	// maxPeersAsked and askPeerTimeout bound the time that a node spends on asking peers.
	maxPeersAsked  = 3
	askPeerTimeout = 250 * time.Millisecond
)

// membersFromPeers reads the members from peers, or returns failure if no peer answers. A
// store may reject some nodes while it serves the others; without the peers' reading, the
// rejected nodes would keep sending calls to former owners.
func (m *Manager) membersFromPeers(ctx context.Context, failure error) (map[int]string, error) {
	m.mu.Lock()
	_, peers := parseMembers(m.partitionMembers)
	m.mu.Unlock()
	asked := 0
	for node := range peers { // in random order
		if node == m.opts.Node || asked == maxPeersAsked {
			continue
		}
		asked++
		if partitionMembers, ok := m.membersFromPeer(ctx, node); ok {
			return partitionMembers, nil
		}
	}
	return nil, failure
}

func (m *Manager) membersFromPeer(ctx context.Context, node string) (map[int]string, bool) {
	ctx, cancel := context.WithTimeout(ctx, askPeerTimeout)
	defer cancel()
	got, err := m.opts.AskMembers(ctx, node)
	if err != nil || time.Duration(got.AgeMs)*time.Millisecond > maxPeerReadingAge || len(got.PartitionMembers) == 0 {
		return nil, false
	}
	m.opts.Logger.Info("members learnt from a peer", "peer", node, "age_ms", got.AgeMs, "members", len(got.PartitionMembers))
	m.mergeHolders(got.Holders)
	return got.PartitionMembers, true
}

// membersResult answers a peer that can't read the store.
func (m *Manager) membersResult() MembersResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitionMembersReadAt == 0 {
		return MembersResult{AgeMs: math.MaxInt32}
	}
	return MembersResult{PartitionMembers: m.partitionMembers, Holders: maps.Clone(m.holders), AgeMs: (planlease.Boottime() - m.partitionMembersReadAt).Milliseconds()}
}

func parseMembers(partitionMembers map[int]string) (members []member, peers map[string]string) {
	peers = map[string]string{}
	for _, name := range slices.Compact(slices.Sorted(maps.Values(partitionMembers))) {
		if parsed, ok := parseMember(name); ok {
			members = append(members, parsed)
			peers[parsed.Node] = parsed.Addr
		}
	}
	return members, peers
}
