package host

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/feed"
	"cyclamenwheel/internal/fleetops"
	"cyclamenwheel/internal/operator"
	"cyclamenwheel/internal/pause"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/platform"
)

const (
	// endpointsBatchGap is the delay between reads of service discovery, so
	// that several records arrive in one read.
	endpointsBatchGap = 80 * time.Millisecond
	// poolOwnershipPoll is how often the node checks whether it owns pools, and
	// so how soon it starts to follow service discovery after it was assigned
	// one. poolOwnershipLinger is how long it continues without owning any.
	poolOwnershipPoll   = 60 * time.Millisecond
	poolOwnershipLinger = 3 * time.Second
)

// followEndpoints follows service discovery while this node owns pools. Other
// nodes don't need it, and each read has a cost.
func (n *Node) followEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.manager.HoldsPools() {
			pause.For(ctx, poolOwnershipPoll)
			continue
		}
		following, stop := context.WithCancel(ctx)
		go n.stopWithoutPools(following, stop)
		feed.Follow(following, n.client, feed.Topic{Name: platform.TopicEndpoints, Gap: endpointsBatchGap, Handle: n.applyEndpoints}, n.log)
		stop()
	}
}

// stopWithoutPools calls stop after the node has owned no pool for
// poolOwnershipLinger.
func (n *Node) stopWithoutPools(ctx context.Context, stop context.CancelFunc) {
	idle := time.Duration(0)
	for ctx.Err() == nil && idle < poolOwnershipLinger {
		pause.For(ctx, poolOwnershipPoll)
		idle += poolOwnershipPoll
		if n.manager.HoldsPools() {
			idle = 0
		}
	}
	stop()
}

// reportUnusableEntry logs and counts a store entry that was skipped. The
// counter shows the rate, as another writer may write such entries
// continuously.
func (n *Node) reportUnusableEntry(topic string, err error) {
	metrics.GetOrCreateCounter(`cyclamen_unusable_entries_total{topic="` + topic + `"}`).Inc()
	n.log.Error("entry left out", "topic", topic, operator.Err(err))
}

// applyOperatorRecords applies the records that operators publish and reports
// whether all of them could be read.
func (n *Node) applyOperatorRecords(records []platform.Record) (allReadable bool) {
	allReadable = true
	for _, r := range records {
		var err error
		switch {
		case r.Damaged && r.Key == "":
			err = &platform.UnusableEntryError{Field: "bytes"}
		case len(r.Value) == 0 && !r.Damaged:
		case r.Key == platform.KeyConfig:
			err = n.applyConfig(r)
		case strings.HasPrefix(r.Key, platform.KeyWavePrefix):
			err = n.applyWave(r)
		}
		if err != nil {
			n.reportUnusableEntry(platform.TopicOperator, err)
			allReadable = false
		}
	}
	return allReadable
}

// applyOperatorHistory searches the history for the last valid configuration
// and waves that precede unreadable newest ones. Otherwise a node that starts
// after an unreadable entry was written would have no configuration and reject
// all callers, while the other nodes still serve with the previous one.
func (n *Node) applyOperatorHistory(ctx context.Context) {
	records, err := feed.History(ctx, n.client, platform.TopicOperator)
	if err != nil {
		n.log.Warn("cannot read topic history", "topic", platform.TopicOperator, operator.Err(err))
	}
	n.log.Info("operator topic history read", "records", len(records))
	n.applyOperatorRecords(records)
}

// rememberEarlierConfigs reads the versions before the one in force that the store still has: the jobs of a
// queue may be in the pool that they led it to.
func (n *Node) rememberEarlierConfigs(ctx context.Context) {
	records, err := feed.History(ctx, n.client, platform.TopicOperator)
	if err != nil {
		n.log.Warn("cannot read topic history", "topic", platform.TopicOperator, operator.Err(err))
	}
	for _, r := range records {
		if r.Key != platform.KeyConfig || len(r.Value) == 0 {
			continue
		}
		c, err := platform.DecodeConfig(r, platform.AccountsInForce(n.set.Contracts))
		if err != nil {
			n.reportUnusableEntry(platform.TopicOperator, err)
			continue
		}
		n.configs.PutEarlier(c)
	}
}

func (n *Node) applyWave(r platform.Record) error {
	w, err := platform.DecodeWave(r)
	if err != nil {
		return err
	}
	n.log.Info("maintenance wave requested", "wave", w.Number, "instances", len(w.Instances), "at_once", w.MaxAtOnce, "within_ms", w.Within.Milliseconds())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waves[w.Number] = w
	return nil
}

// fleetFacts returns the input of the fleet operations duty, which moves and
// maintains instances.
func (n *Node) fleetFacts() fleetops.Facts {
	f := fleetops.Facts{Pools: n.manager.Pools()}
	if c := n.ingress.Config(); c != nil {
		f.Accounts = c.Accounts
		for _, s := range c.Services {
			if s.Spare {
				f.Spare = s.Name
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, number := range slices.Sorted(maps.Keys(n.waves)) {
		f.Waves = append(f.Waves, n.waves[number])
	}
	return f
}

// applyConfig puts a configuration in force. An unreadable one leaves the last
// valid one in force, which serves callers until the operator publishes again.
func (n *Node) applyConfig(r platform.Record) error {
	c, err := platform.DecodeConfig(r, platform.AccountsInForce(n.set.Contracts))
	if err != nil {
		return err
	}
	n.configs.Put(c)
	return nil
}

// onConfigChanged passes a configuration that has come into force to the pool
// manager.
func (n *Node) onConfigChanged(c *routing.Config) {
	n.log.Info("configuration in force", "config_version", c.Version, "queues", len(c.Queues), "accounts", c.Accounts.Len())
	n.manager.SetPools(poolNames(c))
	n.manager.SetAccounts(c.Accounts)
}

// followOperator follows the operators' topic. A node without a duty needs its configurations only,
// and hears of newer ones from a peer once a second.
func (n *Node) followOperator(ctx context.Context) {
	var version atomic.Int64 // of the configuration that this feed or a peer had brought before the read
	var earlierConfigs sync.Once
	watched := func() bool {
		return !n.manager.InGroup() && n.configs.ConfirmedByPeers() && n.configs.Digest().Version == version.Load()
	}
	feed.Follow(ctx, n.client, feed.Topic{Name: platform.TopicOperator, Watched: watched, Handle: func(reset bool, records []platform.Record) {
		allReadable := n.applyOperatorRecords(records)
		switch {
		case !allReadable && reset:
			n.applyOperatorHistory(ctx)
		case reset && n.configs.Config() != nil:
			earlierConfigs.Do(func() { n.rememberEarlierConfigs(ctx) })
		}
	}, OnAnswer: func() {
		version.Store(n.configs.Digest().Version)
		n.configs.Confirm(planlease.Boottime())
	}}, n.log)
}

// peerNames returns the other nodes, sorted by name.
func (n *Node) peerNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := slices.Sorted(maps.Keys(n.recentPeers))
	return slices.DeleteFunc(names, func(name string) bool { return name == n.set.Node })
}

func poolNames(c *routing.Config) []string {
	var pools []string
	for _, s := range c.Services {
		if !s.Spare {
			pools = append(pools, s.Name)
		}
	}
	return pools
}

func (n *Node) applyEndpoints(reset bool, records []platform.Record) {
	n.manager.EndpointsChanged(n.endpoints.apply(reset, records, n.reportUnusableEntry))
}
