package settings

import (
	"net/netip"
	"slices"
	"time"

	"cyclamenwheel/internal/intake"
)

const (
	sectionStore  = "store"
	sectionBounds = "bounds"
)

// NodeSettings are the settings of cyclamen-node.
type NodeSettings struct {
	Node, Zone, Deployment string
	// CallersListen is the listen address for callers' requests, ReadyListen the
	// one for the load balancer's readiness checks.
	CallersListen, ReadyListen netip.AddrPort
	PeerListen                 netip.AddrPort
	// OperatorListen is the listen address for metrics and state dumps.
	OperatorListen netip.AddrPort
	// MetricsListen is the listen address for metrics collectors; the zero AddrPort
	// disables it.
	MetricsListen netip.AddrPort
	// Store, Instances and Advice are the addresses of the platform's services.
	// Instances and Advice may be empty.
	Store, Instances, Advice string
	// InstanceOrdersPerSecond is how many operations on instances the platform accepts per
	// second; 0 if it sets no limit.
	InstanceOrdersPerSecond int
	// Orders names the transport of orders to endpoints; only "rpc" is
	// supported.
	Orders string
	// Contracts lists the optional parts of the platform's contract that are in
	// force.
	Contracts []string
	Bounds    NodeBounds
	// OverloadControl is OverloadOn, OverloadOff or OverloadAuto.
	OverloadControl string
	// Memory is the memory use in bytes above which the process is killed.
	Memory int64
	// Processor is the share of a CPU core that the node may use.
	Processor float64
	// JobMemory bounds the jobs of the pools that the node owns, in bytes.
	JobMemory int64
	// Clients are the limits of all clients together.
	Clients intake.Settings
}

// Values of NodeSettings.OverloadControl.
const (
	OverloadOn   = "on"
	OverloadOff  = "off"
	OverloadAuto = "auto"
)

// NodeBounds holds the time bounds that the deployment guarantees.
type NodeBounds struct {
	Grace       time.Duration
	StopTimeout time.Duration
	// LongestLease is the longest lease that endpoints grant; they shorten longer
	// ones to it.
	LongestLease time.Duration
	KeepEnded    time.Duration
	HolderTTL    time.Duration
	MoveTime     time.Duration
	MaintainTime time.Duration
	// Heartbeat is the interval at which endpoints write their entries in service discovery.
	// A change of an entry may stay unnoticed for StableWindow longer than that.
	Heartbeat, StableWindow time.Duration
	// StrictKeys makes the node reject callers' API keys once the configuration has not been
	// confirmed for KeysUnconfirmed.
	StrictKeys      bool
	KeysUnconfirmed time.Duration
}

// jobMemoryShare is the inverse of the part of a node's memory that jobs may take by default.
const jobMemoryShare = 4

// NodeTable declares the settings of cyclamen-node.
func NodeTable() Table {
	second := int64(time.Second)
	return Table{Daemon: "cyclamen-node", Keys: slices.Concat([]Key{
		{Section: sectionProcess, Name: "node", Kind: KindName, Required: true, Doc: "Name of this node, unique in the deployment."},
		{Section: sectionProcess, Name: "zone", Kind: KindName, Required: true, Doc: "Availability zone that the node runs in."},
		{Section: sectionProcess, Name: "deployment", Kind: KindName, Default: "cyclamenwheel", Doc: "Name of the deployment, which peers' certificates must carry."},
		{Section: sectionCallers, Name: "listen", Kind: KindHostPort, Required: true, Doc: "TCP address for callers' HTTP requests."},
		{Section: sectionCallers, Name: "ready", Kind: KindHostPort, Required: true, Doc: "TCP address for the load balancer's readiness checks."},
		{Section: sectionCallers, Name: "overload_control", Kind: KindChoice, Choices: []string{OverloadOn, OverloadOff, OverloadAuto}, Default: OverloadAuto, Doc: "Overload control; auto enables it if contracts in [store] has pressure."},
		{Section: sectionPeer, Name: "listen", Kind: KindHostPort, Required: true, Doc: "UDP address for QUIC links between nodes."},
		{Section: sectionOperator, Name: "listen", Kind: KindHostPort, Default: "127.0.0.1:0", Doc: "TCP address for operators, on loopback."},
		{Section: sectionOperator, Name: "metrics", Kind: KindHostPort, Optional: true, Doc: "TCP address for metrics collectors, plain HTTP at /metrics; disabled by default."},
		{Section: sectionStore, Name: "address", Kind: KindHostPort, Required: true, Doc: "Address of the platform's store."},
		{Section: sectionStore, Name: "instances", Kind: KindHostPort, Optional: true, Doc: "Address of the platform's instance list."},
		{Section: sectionStore, Name: "advice", Kind: KindHostPort, Optional: true, Doc: "Address of the advice service, if queues have one."},
		{Section: sectionStore, Name: "instance_orders_per_second", Kind: KindNumber, Default: "0", Unit: "1/s", Max: 1 << 20, Doc: "Operations on instances that the platform accepts per second; 0 for no limit."},
		{Section: sectionStore, Name: "orders", Kind: KindName, Default: "rpc", Doc: "Transport of orders to endpoints; only rpc is supported."},
		{Section: sectionStore, Name: "contracts", Kind: KindList, Default: "", Doc: "Optional parts of the platform's contract that are in force, separated by commas."},
		{Section: sectionBounds, Name: "strict_keys", Kind: KindBool, Default: "false", Doc: "Reject callers' API keys while the configuration cannot be confirmed."},
		{Section: sectionBounds, Name: "keys_unconfirmed", Kind: KindDuration, Default: "5s", Unit: "ms, s", Min: second, Max: 600 * second, Doc: "With strict_keys, how long API keys are accepted without confirmation of the configuration."},
		{Section: sectionBounds, Name: "grace", Kind: KindDuration, Default: "6s", Unit: "s", Min: second, Max: 600 * second, Doc: "Time between the stop signal and the kill."},
		{Section: sectionBounds, Name: "stop_timeout", Kind: KindDuration, Default: "900ms", Unit: "ms", Min: 1, Max: 600 * second, Doc: "Maximum time that an endpoint takes to stop a task."},
		{Section: sectionBounds, Name: "longest_lease", Kind: KindDuration, Default: "10s", Unit: "ms, s", Min: 1, Max: 600 * second, Doc: "Longest lease that endpoints grant; they shorten longer ones to it."},
		{Section: sectionBounds, Name: "keep_ended", Kind: KindDuration, Default: "120s", Unit: "s", Min: second, Max: 86400 * second, Doc: "How long the state of an ended job can be queried."},
		{Section: sectionBounds, Name: "lease_ttl", Kind: KindDuration, Default: "3s", Unit: "ms", Min: 0, Max: 600 * second, Doc: "How long the platform remembers which node last ordered an operation on an instance."},
		{Section: sectionBounds, Name: "move", Kind: KindDuration, Default: "1500ms", Unit: "ms, s", Min: 0, Max: 600 * second, Doc: "How long an instance takes to move to another pool."},
		{Section: sectionBounds, Name: "maintenance", Kind: KindDuration, Default: "2s", Unit: "ms, s", Min: 0, Max: 600 * second, Doc: "How long an instance is unavailable during maintenance."},
		{Section: sectionBounds, Name: "endpoint_heartbeat", Kind: KindDuration, Default: "1500ms", Unit: "ms, s", Min: 1, Max: 600 * second, Doc: "Interval at which endpoints write their entries in service discovery."},
		{Section: sectionBounds, Name: "stable_window", Kind: KindDuration, Default: "3s", Unit: "ms, s", Min: second, Max: 600 * second, Doc: "How long after a heartbeat is due an outdated, larger capacity of an endpoint may still be used."},
		{Section: sectionLimits, Name: "memory", Kind: KindBytes, Default: "256MiB", Unit: "MiB", Min: 16 << 20, Max: maxMemory, Doc: "Memory above which the process is killed."},
		{Section: sectionLimits, Name: "processor", Kind: KindRatio, Default: "1", Unit: "cores", Doc: "Share of a CPU core that the node may use."},
		{Section: sectionLimits, Name: "job_memory", Kind: KindBytes, Default: "0B", Unit: "MiB", Max: maxMemory, Doc: "Memory of the jobs of the pools that the node owns, beyond which new ones are refused; 0B for a quarter of memory."},
	}, clientKeys())}
}

// LoadNode reads and checks the settings file of cyclamen-node.
func LoadNode(path string) (NodeSettings, error) {
	v, err := Load(path, NodeTable())
	if err != nil {
		return NodeSettings{}, err
	}
	s := NodeSettings{
		Node: v.String(sectionProcess, "node"), Zone: v.String(sectionProcess, "zone"),
		Deployment:    v.String(sectionProcess, "deployment"),
		CallersListen: v.Addr(sectionCallers, "listen"), ReadyListen: v.Addr(sectionCallers, "ready"),
		PeerListen: v.Addr(sectionPeer, "listen"), OperatorListen: v.Addr(sectionOperator, "listen"),
		MetricsListen: v.Addr(sectionOperator, "metrics"),
		Store:         v.Addr(sectionStore, "address").String(),
		Orders:        v.String(sectionStore, "orders"),
		Memory:        v.Bytes(sectionLimits, "memory"), Processor: v.Ratio(sectionLimits, "processor"),
		Clients: clientSettings(v), JobMemory: v.Bytes(sectionLimits, "job_memory"),
		Bounds: NodeBounds{
			Grace: v.Duration(sectionBounds, "grace"), StopTimeout: v.Duration(sectionBounds, "stop_timeout"),
			LongestLease: v.Duration(sectionBounds, "longest_lease"),
			KeepEnded:    v.Duration(sectionBounds, "keep_ended"),
			HolderTTL:    v.Duration(sectionBounds, "lease_ttl"),
			MoveTime:     v.Duration(sectionBounds, "move"),
			MaintainTime: v.Duration(sectionBounds, "maintenance"),
			Heartbeat:    v.Duration(sectionBounds, "endpoint_heartbeat"),
			StableWindow: v.Duration(sectionBounds, "stable_window"),
			StrictKeys:   v.Bool(sectionBounds, "strict_keys"), KeysUnconfirmed: v.Duration(sectionBounds, "keys_unconfirmed"),
		},
	}
	if s.JobMemory == 0 {
		s.JobMemory = s.Memory / jobMemoryShare
	}
	s.InstanceOrdersPerSecond = int(v.Number(sectionStore, "instance_orders_per_second"))
	s.Contracts = v.List(sectionStore, "contracts")
	s.OverloadControl = v.String(sectionCallers, "overload_control")
	if a := v.Addr(sectionStore, "instances"); a.IsValid() {
		s.Instances = a.String()
	}
	if a := v.Addr(sectionStore, "advice"); a.IsValid() {
		s.Advice = a.String()
	}
	return s, nil
}
