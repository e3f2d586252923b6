package settings

import (
	"net/netip"
	"net/url"
	"time"

	"cyclamenwheel/internal/intake"
)

// Process identifies a process and the instance and zone that it runs in.
type Process struct {
	ID         string
	Zone       string
	Instance   string
	Deployment string
}

// Peer configures the links of a process to its peers.
type Peer struct {
	Listen netip.AddrPort
	// Advertise is the address that peers dial; it differs from Listen behind
	// network address translation.
	Advertise netip.AddrPort
	Seeds     []Seed
	// CA, Cert and Key are paths of PEM files.
	CA, Cert, Key string
}

// Callers configures the HTTP server for callers' requests.
type Callers struct {
	Listen netip.AddrPort
	// MaxBody is the largest accepted request body in bytes.
	MaxBody int64
}

// Timing holds intervals and timeouts.
type Timing struct {
	Heartbeat     time.Duration
	LeaseTTL      time.Duration
	ListPoll      time.Duration
	ReadyGrace    time.Duration
	DrainLimit    time.Duration
	ShutdownLimit time.Duration
	SnapshotEvery time.Duration
}

// Common holds the settings that cyclamen-entry and cyclamen-control share.
type Common struct {
	Process        Process
	PlatformURL    *url.URL
	Peer           Peer
	OperatorListen netip.AddrPort
	Timing         Timing
	// Memory is that of the process, in bytes.
	Memory           int64
	AppendsPerSecond int
	// Clients are the limits of all clients together.
	Clients intake.Settings
}

// EntrySettings are the settings of cyclamen-entry.
type EntrySettings struct {
	Common
	Callers         Callers
	QueuePerService int
}

// ControlSettings are the settings of cyclamen-control.
type ControlSettings struct {
	Common
	FenceAfter time.Duration
}

// LoadEntry reads and checks the settings file of cyclamen-entry.
func LoadEntry(path string) (EntrySettings, error) {
	v, err := Load(path, EntryTable())
	if err != nil {
		return EntrySettings{}, err
	}
	return EntrySettings{
		Common: commonSettings(v),
		Callers: Callers{
			Listen:  v.Addr(sectionCallers, "listen"),
			MaxBody: v.Bytes(sectionCallers, "max_body"),
		},
		QueuePerService: v.Int(sectionLimits, "queue_per_service"),
	}, nil
}

// LoadControl reads and checks the settings file of cyclamen-control.
func LoadControl(path string) (ControlSettings, error) {
	v, err := Load(path, ControlTable())
	if err != nil {
		return ControlSettings{}, err
	}
	return ControlSettings{
		Common:     commonSettings(v),
		FenceAfter: v.Duration(sectionTiming, "fence_after"),
	}, nil
}

func commonSettings(v Values) Common {
	return Common{
		Process: Process{
			ID:         v.String(sectionProcess, "id"),
			Zone:       v.String(sectionProcess, "zone"),
			Instance:   v.String(sectionProcess, "instance"),
			Deployment: v.String(sectionProcess, "deployment"),
		},
		PlatformURL: v.URL(sectionPlatform, "url"),
		Peer: Peer{
			Listen:    v.Addr(sectionPeer, "listen"),
			Advertise: advertiseAddr(v),
			Seeds:     v.Seeds(sectionPeer, "peers"),
			CA:        v.String(sectionPeer, "ca"),
			Cert:      v.String(sectionPeer, "cert"),
			Key:       v.String(sectionPeer, "key"),
		},
		OperatorListen:   v.Addr(sectionOperator, "listen"),
		Timing:           timingSettings(v),
		Memory:           v.Bytes(sectionLimits, "memory"),
		AppendsPerSecond: v.Int(sectionLimits, "appends_per_second"),
		Clients:          clientSettings(v),
	}
}

func advertiseAddr(v Values) netip.AddrPort {
	if a := v.Addr(sectionPeer, "advertise"); a.IsValid() {
		return a
	}
	return v.Addr(sectionPeer, "listen")
}

func timingSettings(v Values) Timing {
	return Timing{
		Heartbeat:     v.Duration(sectionTiming, "heartbeat"),
		LeaseTTL:      v.Duration(sectionTiming, "lease_ttl"),
		ListPoll:      v.Duration(sectionTiming, "list_poll"),
		ReadyGrace:    v.Duration(sectionTiming, "ready_grace"),
		DrainLimit:    v.Duration(sectionTiming, "drain_limit"),
		ShutdownLimit: v.Duration(sectionTiming, "shutdown_limit"),
		SnapshotEvery: v.Duration(sectionTiming, "snapshot_every"),
	}
}
