// Package daemon sets up what both daemons have: logs, certificates, peer
// links, the control goroutine and the operators' server.
package daemon

import (
	"log/slog"
	"net/http"
	"net/http/pprof"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/node"
	"cyclamenwheel/internal/operator"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/settings"
	"cyclamenwheel/internal/version"
)

// Daemon is the common part of a process.
type Daemon struct {
	Log      *slog.Logger
	Platform platform.Platform
	Peers    *peer.Node
	Node     *node.Node
	Operator *operator.Server
	http     *http.Transport
}

// platformConnections bounds connections to the platform: one long poll of the
// log, one of the list, and a few calls beside them.
const platformConnections = 8

// New prepares a daemon; nothing listens yet. self names the process; its
// BootID is set here.
func New(s settings.Common, self membership.Member) (*Daemon, error) {
	debug.SetMemoryLimit(s.Memory)
	self.ID, self.Zone, self.Instance = s.Process.ID, s.Process.Zone, s.Process.Instance
	self.BootID = fleetlog.NewID().String()
	self.PeerAddr, self.OperatorAddr = s.Peer.Advertise.String(), s.OperatorListen.String()
	log := operator.NewLogger(os.Stderr, slog.LevelInfo, operator.Process{
		ID: self.ID, Deployment: s.Process.Deployment, Zone: self.Zone, Version: version.Version,
	})
	creds, err := certs.Load(s.Peer.CA, s.Peer.Cert, s.Peer.Key)
	if err != nil {
		return nil, err
	}
	if err := checkIdentity(creds.Identity(), s.Process, self.Role); err != nil {
		return nil, err
	}
	// Not among the library's process metrics: a leak of connections shows here.
	metrics.RegisterMetricsWriter(metrics.WriteFDMetrics)
	metrics.GetOrCreateGauge("cyclamen_certificate_expiry_seconds", func() float64 {
		return time.Until(creds.NotAfter()).Seconds()
	})
	peers, err := peer.NewNode(peer.Options{
		Self: peer.Identity{
			ID: self.ID, Role: string(self.Role), BootID: self.BootID, Zone: self.Zone,
		},
		Deployment: s.Process.Deployment, Listen: s.Peer.Listen.String(), Logger: log,
		TLS: creds.Config(certs.RoleEntry, certs.RoleControl),
	})
	if err != nil {
		return nil, err
	}
	d := &Daemon{Log: log, Peers: peers, http: &http.Transport{MaxConnsPerHost: platformConnections}}
	d.Platform = platform.NewClient(s.PlatformURL.String(), &http.Client{Transport: d.http})
	d.Node = node.New(node.Options{
		Self: self, Platform: d.Platform, Peers: peers, Seeds: seeds(s.Peer.Seeds),
		Heartbeat: s.Timing.Heartbeat, ListPoll: s.Timing.ListPoll,
		SnapshotEvery: s.Timing.SnapshotEvery, Logger: log,
	})
	d.Operator, err = operator.New(operator.Options{
		Process: operator.Process{ID: self.ID, Deployment: s.Process.Deployment, Zone: self.Zone, Version: version.Version},
		Listen:  s.OperatorListen, Logger: log,
		TLS:    creds.Config(certs.RoleOperator, certs.RoleEntry, certs.RoleControl),
		Status: func() any { return d.status() },
	})
	return d, err
}

// IdentityMismatchError says that the certificate names another process than
// the settings do: its peers would turn it away one by one.
type IdentityMismatchError struct {
	Certificate certs.Identity
	Process     settings.Process
	Role        membership.Role
}

func (e *IdentityMismatchError) Error() string {
	return "the certificate is of " + e.Certificate.String() + ", the settings of " +
		string(e.Role) + " " + e.Process.ID + " of " + e.Process.Deployment
}

func checkIdentity(id certs.Identity, p settings.Process, role membership.Role) error {
	if id.ID != p.ID || id.Deployment != p.Deployment || string(id.Role) != string(role) {
		return &IdentityMismatchError{Certificate: id, Process: p, Role: role}
	}
	return nil
}

func seeds(list []settings.Seed) map[string]string {
	out := make(map[string]string, len(list))
	for _, s := range list {
		out[s.ID] = s.Addr.String()
	}
	return out
}

func (d *Daemon) status() any {
	var st node.Status
	d.Node.Do(func() { st = d.Node.Status() })
	return st
}

// NotReady lists why the process is not ready. Any goroutine but the control
// goroutine may call it.
func (d *Daemon) NotReady() []string {
	why := []string{"stopped"}
	d.Node.Do(func() { why = d.Node.NotReady() })
	return why
}

// Start listens and runs the control goroutine with hooks.
func (d *Daemon) Start(hooks node.Hooks) error {
	d.Node.Register()
	if err := d.Peers.Start(); err != nil {
		return err
	}
	d.Node.Run(hooks)
	d.Operator.SetReady(d.NotReady)
	d.registerDumps()
	d.Operator.Handle("/fold", http.HandlerFunc(d.serveFold))
	// Profiles of a live process; the operators' port is on loopback or asks
	// for a certificate.
	d.Operator.Handle("/debug/pprof/profile", http.HandlerFunc(pprof.Profile))
	d.Operator.Handle("/debug/pprof/heap", pprof.Handler("heap"))
	d.Operator.Handle("/debug/pprof/goroutine", pprof.Handler("goroutine"))
	return d.Operator.Start()
}

func (d *Daemon) registerDumps() {
	d.Operator.RegisterDump("status", d.status)
	d.Operator.RegisterDump("fold", func() any { return d.snapshot() })
	d.Operator.RegisterDump("peers", func() any { return d.Peers.Status() })
}

// serveFold answers with the encoded fold, for commands while the log is down.
func (d *Daemon) serveFold(w http.ResponseWriter, _ *http.Request) {
	encoded := d.encodedFold()
	if encoded == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(encoded)
}

func (d *Daemon) encodedFold() (encoded []byte) {
	d.Node.Do(func() { encoded, _ = d.Node.State().Encode() })
	return encoded
}

// snapshot returns a copy of the folded state that nobody changes.
func (d *Daemon) snapshot() *fleetlog.State {
	st, err := fleetlog.DecodeState(d.encodedFold())
	if err != nil {
		return nil
	}
	return st
}

// Close stops everything that Start started. The operators' server goes first:
// answering from a node that has stopped, it would report generation 0.
func (d *Daemon) Close() {
	if err := d.Operator.Close(); err != nil {
		d.Log.Warn("operators' server not closed", "error", err.Error())
	}
	d.Node.Close()
	if err := d.Peers.Close(); err != nil {
		d.Log.Warn("peers not closed", "error", err.Error())
	}
	d.http.CloseIdleConnections()
}
