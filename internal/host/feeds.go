package host

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/feed"
	"cyclamenwheel/internal/fleetops"
	"cyclamenwheel/internal/operator"
	"cyclamenwheel/internal/pause"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/platform"
)

const (
	// endpointsGap gathers records of service discovery into one read.
	endpointsGap = 80 * time.Millisecond
	// dutyCheck is how soon a node that was given a pool begins to read service
	// discovery, and dutyLinger how long it goes on without any.
	dutyCheck  = 60 * time.Millisecond
	dutyLinger = 3 * time.Second
)

// followEndpoints reads service discovery while this node owns pools. The other
// nodes have no use for it, and each read has its price.
func (n *Node) followEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.manager.HoldsPools() {
			pause.For(ctx, dutyCheck)
			continue
		}
		following, stop := context.WithCancel(ctx)
		go n.stopWhenIdle(following, stop)
		feed.Follow(following, n.client, feed.Topic{Name: platform.TopicEndpoints, Gap: endpointsGap, Handle: n.takeEndpoints}, n.log)
		stop()
	}
}

func (n *Node) stopWhenIdle(ctx context.Context, stop context.CancelFunc) {
	idle := time.Duration(0)
	for ctx.Err() == nil && idle < dutyLinger {
		pause.For(ctx, dutyCheck)
		idle += dutyCheck
		if n.manager.HoldsPools() {
			idle = 0
		}
	}
	stop()
}

// unusable says that an entry of the store was left out. Whoever else writes there
// may do so all the time, so the counter says how often.
func (n *Node) unusable(topic string, err error) {
	metrics.GetOrCreateCounter(`cyclamen_unusable_entries_total{topic="` + topic + `"}`).Inc()
	n.log.Error("entry left out", "topic", topic, operator.Err(err))
}

// takeOperator takes in what operators publish and reports whether all of it could
// be read.
func (n *Node) takeOperator(records []platform.Record) (whole bool) {
	whole = true
	for _, r := range records {
		var err error
		switch {
		case r.Damaged && r.Key == "":
			err = &platform.UnusableEntryError{Field: "bytes"}
		case len(r.Value) == 0 && !r.Damaged:
		case r.Key == platform.KeyConfig:
			err = n.takeConfig(r)
		case strings.HasPrefix(r.Key, platform.KeyWavePrefix):
			err = n.takeWave(r)
		}
		if err != nil {
			n.unusable(platform.TopicOperator, err)
			whole = false
		}
	}
	return whole
}

// takeHistory looks for the last good configuration and waves behind newest ones
// that can't be read. A node that starts after such an entry was written would
// otherwise have no configuration and refuse all of its callers, while the others
// still serve by the one before.
func (n *Node) takeHistory(ctx context.Context) {
	records, err := feed.History(ctx, n.client, platform.TopicOperator)
	if err != nil {
		n.log.Warn("history not read", "topic", platform.TopicOperator, operator.Err(err))
	}
	n.log.Info("operators' history read", "records", len(records))
	n.takeOperator(records)
}

func (n *Node) takeWave(r platform.Record) error {
	w, err := platform.DecodeWave(r)
	if err != nil {
		return err
	}
	n.log.Info("wave asked for", "wave", w.Number, "instances", len(w.Instances), "at_once", w.MaxAtOnce, "within_ms", w.Within.Milliseconds())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waves[w.Number] = w
	return nil
}

// facts are what the duty over instances goes by.
func (n *Node) facts() fleetops.Facts {
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

// takeConfig puts a configuration in force. One that can't be read leaves the last
// good one in force: callers are served by it until the operator publishes anew.
func (n *Node) takeConfig(r platform.Record) error {
	c, err := platform.DecodeConfig(r, platform.AccountsInForce(n.set.Contracts))
	if err != nil {
		return err
	}
	n.configs.Put(c)
	return nil
}

// configChanged lets the duties know of a configuration that has come into force.
func (n *Node) configChanged(c *routing.Config) {
	n.log.Info("configuration in force", "config_version", c.Version, "queues", len(c.Queues), "accounts", c.Accounts.Len())
	n.manager.SetPools(poolsOf(c))
	n.manager.SetAccounts(c.Accounts)
	n.passEndpoints()
}

// followOperator follows what operators publish.
func (n *Node) followOperator(ctx context.Context) {
	feed.Follow(ctx, n.client, feed.Topic{Name: platform.TopicOperator, Handle: func(reset bool, records []platform.Record) {
		if !n.takeOperator(records) && reset {
			n.takeHistory(ctx)
		}
	}, OnAnswer: func() { n.configs.Confirm(planlease.Boottime()) }}, n.log)
}

// peerNames are the peers that can be asked.
func (n *Node) peerNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := slices.Sorted(maps.Keys(n.peersSeen))
	return slices.DeleteFunc(names, func(name string) bool { return name == n.set.Node })
}

func poolsOf(c *routing.Config) []string {
	var pools []string
	for _, s := range c.Services {
		if !s.Spare {
			pools = append(pools, s.Name)
		}
	}
	return pools
}

func (n *Node) takeEndpoints(reset bool, records []platform.Record) {
	n.mu.Lock()
	if reset {
		clear(n.endpoints)
	}
	for _, r := range records {
		// What can't be read names no endpoint to use: one that was known gets no
		// new work from here on, and what runs there goes on under its lease.
		delete(n.endpoints, r.Key)
		if len(r.Value) == 0 && !r.Damaged {
			continue
		}
		entry, err := platform.DecodeEndpoint(r)
		if err != nil {
			n.unusable(platform.TopicEndpoints, err)
			continue
		}
		n.endpoints[r.Key] = entry
	}
	n.mu.Unlock()
	n.passEndpoints()
}

// passEndpoints gives each pool's owner here its list.
func (n *Node) passEndpoints() {
	byPool := map[string][]executor.EndpointInfo{}
	n.mu.Lock()
	for _, e := range n.endpoints {
		info := executor.EndpointInfo{ID: e.ID, StartedMs: e.StartedMs, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Rack: e.Rack, Draining: e.Draining, Clock: e.Clock,
			Capacity: executor.Resources{CPUMilli: e.Capacity.CPUMilli, MemoryMB: e.Capacity.MemoryMB, GPUs: e.Capacity.GPUs}}
		byPool[e.Service] = append(byPool[e.Service], info)
	}
	n.mu.Unlock()
	n.manager.SetEndpoints(byPool)
}
