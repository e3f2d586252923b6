package settings

import (
	"net/netip"
	"net/url"
	"time"
)

// Process tells a process who and where it is.
type Process struct {
	ID         string
	Zone       string
	Instance   string
	Deployment string
}

// Peer is how a process meets its peers.
type Peer struct {
	Listen netip.AddrPort
	// Advertise is what peers dial; it differs from Listen behind an address
	// translation.
	Advertise netip.AddrPort
	Seeds     []Seed
	// CA, Cert and Key are PEM files.
	CA, Cert, Key string
}

// Callers is how an entry meets callers.
type Callers struct {
	Listen netip.AddrPort
	// MaxBody is in bytes.
	MaxBody int64
}

// Timing holds intervals and limits of time.
type Timing struct {
	Heartbeat     time.Duration
	LeaseTTL      time.Duration
	ListPoll      time.Duration
	ReadyGrace    time.Duration
	DrainLimit    time.Duration
	ShutdownLimit time.Duration
	SnapshotEvery time.Duration
}

// Common is what both daemons have.
type Common struct {
	Process        Process
	PlatformURL    *url.URL
	Peer           Peer
	OperatorListen netip.AddrPort
	Timing         Timing
	// Memory is the soft limit in bytes.
	Memory           int64
	AppendsPerSecond int
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

// LoadEntry reads the settings of cyclamen-entry.
func LoadEntry(path string) (EntrySettings, error) {
	v, err := Load(path, EntryTable())
	if err != nil {
		return EntrySettings{}, err
	}
	return EntrySettings{
		Common: common(v),
		Callers: Callers{
			Listen:  v.Addr(sectionCallers, "listen"),
			MaxBody: v.Bytes(sectionCallers, "max_body"),
		},
		QueuePerService: v.Int(sectionLimits, "queue_per_service"),
	}, nil
}

// LoadControl reads the settings of cyclamen-control.
func LoadControl(path string) (ControlSettings, error) {
	v, err := Load(path, ControlTable())
	if err != nil {
		return ControlSettings{}, err
	}
	return ControlSettings{
		Common:     common(v),
		FenceAfter: v.Duration(sectionTiming, "fence_after"),
	}, nil
}

func common(v Values) Common {
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
			Advertise: advertised(v),
			Seeds:     v.Seeds(sectionPeer, "peers"),
			CA:        v.String(sectionPeer, "ca"),
			Cert:      v.String(sectionPeer, "cert"),
			Key:       v.String(sectionPeer, "key"),
		},
		OperatorListen:   v.Addr(sectionOperator, "listen"),
		Timing:           timing(v),
		Memory:           v.Bytes(sectionLimits, "memory"),
		AppendsPerSecond: v.Int(sectionLimits, "appends_per_second"),
	}
}

func advertised(v Values) netip.AddrPort {
	if a := v.Addr(sectionPeer, "advertise"); a.IsValid() {
		return a
	}
	return v.Addr(sectionPeer, "listen")
}

func timing(v Values) Timing {
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
