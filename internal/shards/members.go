package shards

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/rendezvous"
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
//
// A process outside the group reads them from a member. Load: hundreds of nodes have no duty. If
// each read the store once a second, that would be most of the calls to the store, and more with
// each node. A member reads the store as soon as the group has changed. A reading that is due
// sooner than usual comes from the store: a call has just found no owner.
func (m *Manager) refreshMembers(ctx context.Context, maxAge time.Duration) {
	now := planlease.Boottime()
	m.mu.Lock()
	due := m.membersReadAt == 0 || now-m.membersReadAt >= maxAge
	if due {
		m.membersReadAt = now
	}
	pools, fromPeer := m.pools, !m.inGroup && maxAge >= nonMemberInterval
	m.mu.Unlock()
	if !due || fromPeer && m.refreshFromPeer(ctx, pools) {
		return
	}
	partitionMembers, err := m.opts.Membership.Owners(ctx, group)
	if err == nil {
		m.refreshHolders(ctx, partitionMembers)
		m.storePartitionMembers(partitionMembers)
		m.distributeDuties(pools, partitionMembers)
		return
	}
	if !m.refreshFromPeer(ctx, pools) {
		m.opts.Logger.Debug("reading the members failed", "error", err.Error())
	}
}

func (m *Manager) setInGroup(joined bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inGroup = joined
}

// InGroup reports whether this process is in the group, or may be.
func (m *Manager) InGroup() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inGroup
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
	m.partitionMembers, m.partitionMembersReadAt, m.peerReading = partitionMembers, planlease.Boottime(), 0
}

const (
	// maxPeerReadingAge is the maximum age of a peer's reading that is used.
	maxPeerReadingAge = 3 * time.Second
	// maxPeersAsked and askPeerTimeout bound the time that a node spends on asking peers.
	maxPeersAsked  = 3
	askPeerTimeout = 250 * time.Millisecond
)

// refreshFromPeer takes the members from a peer and reports whether one answered. A store may
// reject some nodes while it serves the others; without the peers' reading, the rejected nodes would
// keep sending calls to former owners.
func (m *Manager) refreshFromPeer(ctx context.Context, pools []string) bool {
	for _, node := range m.rankedPeers() {
		got, ok := m.askMembers(ctx, node)
		if !ok {
			m.mu.Lock()
			m.peersFailed++
			m.mu.Unlock()
			continue
		}
		m.distributeDuties(pools, got)
		return true
	}
	return false
}

// rankedPeers returns the members to ask, in the order in which to ask them: by rank for this node,
// so that nodes without a duty spread over the members and keep to one link each, from the one that
// answered last.
func (m *Manager) rankedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var nodes []string
	for _, other := range m.members {
		if other.Node != m.opts.Node {
			nodes = append(nodes, other.Node)
		}
	}
	if len(nodes) == 0 {
		return nil
	}
	ranked := rendezvous.Ranked([]byte(m.opts.Node), nodes)
	first := m.peersFailed % len(ranked)
	return slices.Concat(ranked[first:], ranked[:first])[:min(len(ranked), maxPeersAsked)]
}

// askMembers asks a peer for its reading of the members and returns the newest that this process has
// then.
func (m *Manager) askMembers(ctx context.Context, node string) (members map[int]string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askPeerTimeout)
	defer cancel()
	asked := planlease.Boottime()
	m.mu.Lock()
	known := m.peerReading
	m.mu.Unlock()
	got, err := m.opts.AskMembers(ctx, node, MembersCall{Known: known})
	unchanged := known != 0 && got.Fingerprint == known
	if err != nil || time.Duration(got.AgeMs)*time.Millisecond > maxPeerReadingAge || len(got.PartitionMembers) == 0 && !unchanged {
		return nil, false
	}
	m.opts.ObserveConfig(node, asked, got.Config)
	m.mergeHolders(got.Holders)
	m.mu.Lock()
	defer m.mu.Unlock()
	olderThanOwn := asked-time.Duration(got.AgeMs)*time.Millisecond < m.partitionMembersReadAt
	if unchanged || olderThanOwn {
		return m.partitionMembers, true
	}
	m.partitionMembers, m.peerReading = got.PartitionMembers, got.Fingerprint
	m.opts.Logger.Info("members learnt from a peer", "peer", node, "age_ms", got.AgeMs, "members", len(got.PartitionMembers))
	return got.PartitionMembers, true
}

// membersResult answers a peer that doesn't read the store.
func (m *Manager) membersResult(in MembersCall) MembersResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitionMembersReadAt == 0 {
		return MembersResult{AgeMs: math.MaxInt32}
	}
	out := MembersResult{AgeMs: (planlease.Boottime() - m.partitionMembersReadAt).Milliseconds(),
		Fingerprint: fingerprint(m.partitionMembers, m.holders), Config: m.opts.Config()}
	if out.Fingerprint != in.Known {
		out.PartitionMembers, out.Holders = m.partitionMembers, maps.Clone(m.holders)
	}
	return out
}

// fingerprint identifies the members and the holders of duties; it is never 0.
func fingerprint(partitionMembers map[int]string, holders map[string]holder) uint64 {
	d := xxhash.New()
	for _, partition := range slices.Sorted(maps.Keys(partitionMembers)) {
		fmt.Fprintf(d, "%d %q\n", partition, partitionMembers[partition])
	}
	for _, duty := range slices.Sorted(maps.Keys(holders)) {
		fmt.Fprintf(d, "%q %q %d\n", duty, holders[duty].Member, holders[duty].Epoch)
	}
	return d.Sum64() | 1
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
