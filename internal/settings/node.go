package settings

import (
	"net/netip"
	"time"
)

const (
	sectionStore  = "store"
	sectionBounds = "bounds"
)

// NodeSettings are the settings of cyclamen-node.
type NodeSettings struct {
	Node, Zone, Deployment string
	// Front takes callers' requests, Ready the balancer's questions.
	Front, Ready netip.AddrPort
	PeerListen   netip.AddrPort
	// Operator serves metrics and dumps.
	Operator netip.AddrPort
	// Metrics serves counters and histograms to collectors; invalid for none.
	Metrics netip.AddrPort
	// Store, Instances and Advice are the platform's services.
	Store, Instances, Advice string
	// Orders is how endpoints get their orders.
	Orders string
	// Contracts are the parts of the platform's terms that are in force.
	Contracts []string
	Bounds    NodeBounds
	// Memory is the soft limit in bytes.
	Memory int64
	// Processor is this instance's share of a core.
	Processor float64
}

// NodeBounds are times that the deployment promises.
type NodeBounds struct {
	Grace       time.Duration
	StopTimeout time.Duration
	// LongestLease is what endpoints shorten longer leases to.
	LongestLease time.Duration
	KeepEnded    time.Duration
	LeaseTTL     time.Duration
	Move         time.Duration
	Maintain     time.Duration
	// Heartbeat is how often endpoints write their entries in service discovery, and
	// StableWindow how long beyond that a change of theirs may go unseen.
	Heartbeat, StableWindow time.Duration
	// StrictKeys: callers' keys are not gone by once nothing was heard of the configuration
	// for KeysUnconfirmed.
	StrictKeys      bool
	KeysUnconfirmed time.Duration
}

// NodeTable lists the settings of cyclamen-node.
func NodeTable() Table {
	second := int64(time.Second)
	return Table{Daemon: "cyclamen-node", Keys: []Key{
		{Section: sectionProcess, Name: "node", Kind: KindName, Required: true, Doc: "Name of this node, unique in the deployment."},
		{Section: sectionProcess, Name: "zone", Kind: KindName, Required: true, Doc: "Availability zone the node runs in."},
		{Section: sectionProcess, Name: "deployment", Kind: KindName, Default: "cyclamenwheel", Doc: "Name that peers' certificates must carry."},
		{Section: sectionCallers, Name: "listen", Kind: KindHostPort, Required: true, Doc: "TCP address for callers' HTTP requests."},
		{Section: sectionCallers, Name: "ready", Kind: KindHostPort, Required: true, Doc: "TCP address at which the balancer asks for readiness."},
		{Section: sectionPeer, Name: "listen", Kind: KindHostPort, Required: true, Doc: "UDP address for QUIC links between nodes."},
		{Section: sectionOperator, Name: "listen", Kind: KindHostPort, Default: "127.0.0.1:0", Doc: "TCP address for operators, on loopback."},
		{Section: sectionOperator, Name: "metrics", Kind: KindHostPort, Optional: true, Doc: "TCP address for collectors of metrics, plain HTTP at /metrics; none by default."},
		{Section: sectionStore, Name: "address", Kind: KindHostPort, Required: true, Doc: "Address of the platform's store."},
		{Section: sectionStore, Name: "instances", Kind: KindHostPort, Optional: true, Doc: "Address of the platform's instance list."},
		{Section: sectionStore, Name: "advice", Kind: KindHostPort, Optional: true, Doc: "Address of the advice service, where queues have one."},
		{Section: sectionStore, Name: "orders", Kind: KindName, Default: "rpc", Doc: "How endpoints get their orders; only rpc is supported."},
		{Section: sectionStore, Name: "contracts", Kind: KindList, Default: "", Doc: "Parts of the platform's terms that are in force."},
		{Section: sectionBounds, Name: "strict_keys", Kind: KindBool, Default: "false", Doc: "Refuse callers' keys while the configuration can't be confirmed."},
		{Section: sectionBounds, Name: "keys_unconfirmed", Kind: KindDuration, Default: "5s", Unit: "ms, s", Min: second, Max: 600 * second, Doc: "How long keys are gone by without word of the configuration, with strict_keys."},
		{Section: sectionBounds, Name: "grace", Kind: KindDuration, Default: "6s", Unit: "s", Min: second, Max: 600 * second, Doc: "Time between the signal to stop and the kill."},
		{Section: sectionBounds, Name: "stop_timeout", Kind: KindDuration, Default: "900ms", Unit: "ms", Min: 1, Max: 600 * second, Doc: "Longest time that an endpoint takes to stop a task."},
		{Section: sectionBounds, Name: "longest_lease", Kind: KindDuration, Default: "10s", Unit: "ms, s", Min: 1, Max: 600 * second, Doc: "Time to which endpoints shorten longer leases."},
		{Section: sectionBounds, Name: "keep_ended", Kind: KindDuration, Default: "120s", Unit: "s", Min: second, Max: 86400 * second, Doc: "How long the state of an ended job can be asked for."},
		{Section: sectionBounds, Name: "lease_ttl", Kind: KindDuration, Default: "3s", Unit: "ms", Min: 0, Max: 600 * second, Doc: "How long the platform remembers who ordered an instance last."},
		{Section: sectionBounds, Name: "move", Kind: KindDuration, Default: "1500ms", Unit: "ms, s", Min: 0, Max: 600 * second, Doc: "How long an instance takes to move to another pool."},
		{Section: sectionBounds, Name: "maintenance", Kind: KindDuration, Default: "2s", Unit: "ms, s", Min: 0, Max: 600 * second, Doc: "How long an instance is away for maintenance."},
		{Section: sectionBounds, Name: "endpoint_heartbeat", Kind: KindDuration, Default: "1500ms", Unit: "ms, s", Min: 1, Max: 600 * second, Doc: "How often endpoints write their entries in service discovery."},
		{Section: sectionBounds, Name: "stable_window", Kind: KindDuration, Default: "3s", Unit: "ms, s", Min: second, Max: 600 * second, Doc: "How long beyond a heartbeat an endpoint's room that has shrunk still counts."},
		{Section: sectionLimits, Name: "memory", Kind: KindBytes, Default: "256MiB", Unit: "MiB", Min: 16 << 20, Max: maxMemory, Doc: "Memory above which the process is killed."},
		{Section: sectionLimits, Name: "processor", Kind: KindRatio, Default: "1", Unit: "cores", Doc: "This instance's share of a core."},
	}}
}

// LoadNode reads the settings of cyclamen-node.
func LoadNode(path string) (NodeSettings, error) {
	v, err := Load(path, NodeTable())
	if err != nil {
		return NodeSettings{}, err
	}
	s := NodeSettings{
		Node: v.String(sectionProcess, "node"), Zone: v.String(sectionProcess, "zone"),
		Deployment: v.String(sectionProcess, "deployment"),
		Front:      v.Addr(sectionCallers, "listen"), Ready: v.Addr(sectionCallers, "ready"),
		PeerListen: v.Addr(sectionPeer, "listen"), Operator: v.Addr(sectionOperator, "listen"),
		Metrics: v.Addr(sectionOperator, "metrics"),
		Store:   v.Addr(sectionStore, "address").String(),
		Orders:  v.String(sectionStore, "orders"),
		Memory:  v.Bytes(sectionLimits, "memory"), Processor: v.Ratio(sectionLimits, "processor"),
		Bounds: NodeBounds{
			Grace: v.Duration(sectionBounds, "grace"), StopTimeout: v.Duration(sectionBounds, "stop_timeout"),
			LongestLease: v.Duration(sectionBounds, "longest_lease"),
			KeepEnded:    v.Duration(sectionBounds, "keep_ended"),
			LeaseTTL:     v.Duration(sectionBounds, "lease_ttl"),
			Move:         v.Duration(sectionBounds, "move"),
			Maintain:     v.Duration(sectionBounds, "maintenance"),
			Heartbeat:    v.Duration(sectionBounds, "endpoint_heartbeat"),
			StableWindow: v.Duration(sectionBounds, "stable_window"),
			StrictKeys:   v.Bool(sectionBounds, "strict_keys"), KeysUnconfirmed: v.Duration(sectionBounds, "keys_unconfirmed"),
		},
	}
	s.Contracts = v.List(sectionStore, "contracts")
	if a := v.Addr(sectionStore, "instances"); a.IsValid() {
		s.Instances = a.String()
	}
	if a := v.Addr(sectionStore, "advice"); a.IsValid() {
		s.Advice = a.String()
	}
	return s, nil
}
