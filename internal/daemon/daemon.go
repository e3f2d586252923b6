// Package daemon sets up and runs the entry and control daemons, and what both
// share: logging, certificates, peer links, the control goroutine of the node
// and the operator server. Its input is the command line, the settings file and
// stop signals; it decides the order of startup and shutdown and the exit code.
// The main functions of cyclamen-entry and cyclamen-control call EntryMain and
// ControlMain.
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
	"cyclamenwheel/internal/intake"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/node"
	"cyclamenwheel/internal/operator"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/settings"
	"cyclamenwheel/internal/version"
)

// Daemon holds the components that both daemons share.
type Daemon struct {
	Log      *slog.Logger
	Platform platform.Platform
	Peers    *peer.Node
	Node     *node.Node
	Operator *operator.Server
	// Clients limits the clients of all HTTP servers of the process.
	Clients *intake.Guard
	http    *http.Transport
}

// maxPlatformConnections bounds the connections to the platform: a long poll of
// the log, a long poll of the instance list, and a few concurrent calls.
const maxPlatformConnections = 8

// New creates a daemon without listening yet. self describes the process; New
// sets its BootID and the fields that come from the settings.
func New(s settings.Common, self membership.Member) (*Daemon, error) {
	debug.SetMemoryLimit(intake.CollectorLimit(s.Memory))
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
	// The library's process metrics don't include open file descriptors, which
	// show a connection leak.
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
	d := &Daemon{Log: log, Peers: peers, Clients: intake.NewGuard(s.Clients.Limits(), log), http: &http.Transport{MaxConnsPerHost: maxPlatformConnections}}
	d.Platform = platform.NewClient(s.PlatformURL.String(), &http.Client{Transport: d.http})
	d.Node = node.New(node.Options{
		Self: self, Platform: d.Platform, Peers: peers, Seeds: seedAddrs(s.Peer.Seeds),
		Heartbeat: s.Timing.Heartbeat, ListPoll: s.Timing.ListPoll,
		SnapshotEvery: s.Timing.SnapshotEvery, Logger: log,
	})
	d.Operator, err = operator.New(operator.Options{
		Process: operator.Process{ID: self.ID, Deployment: s.Process.Deployment, Zone: self.Zone, Version: version.Version},
		Listen:  s.OperatorListen, Logger: log,
		TLS:    creds.Config(certs.RoleOperator, certs.RoleEntry, certs.RoleControl),
		Status: func() any { return d.status() }, Clients: d.Clients,
	})
	return d, err
}

// IdentityMismatchError reports that the certificate names another process than
// the settings do. Every peer would reject its connections.
type IdentityMismatchError struct {
	Certificate certs.Identity
	Process     settings.Process
	Role        membership.Role
}

func (e *IdentityMismatchError) Error() string {
	return "certificate identity " + e.Certificate.String() + " does not match the settings: " +
		string(e.Role) + " " + e.Process.ID + " of " + e.Process.Deployment
}

func checkIdentity(id certs.Identity, p settings.Process, role membership.Role) error {
	if id.ID != p.ID || id.Deployment != p.Deployment || string(id.Role) != string(role) {
		return &IdentityMismatchError{Certificate: id, Process: p, Role: role}
	}
	return nil
}

func seedAddrs(list []settings.Seed) map[string]string {
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

// NotReady returns the reasons why the process is not ready. It must not be
// called from the control goroutine.
func (d *Daemon) NotReady() []string {
	reasons := []string{"stopped"}
	d.Node.Do(func() { reasons = d.Node.NotReady() })
	return reasons
}

// Start starts the peer links, the control goroutine with hooks, and the
// operator server.
func (d *Daemon) Start(hooks node.Hooks) error {
	d.Node.Register()
	if err := d.Peers.Start(); err != nil {
		return err
	}
	d.Node.Run(hooks)
	d.Operator.SetReady(d.NotReady)
	d.registerDumps()
	d.Operator.Handle("/fold", http.HandlerFunc(d.serveFold))
	// Profiles of the running process are safe to serve here: the operators'
	// port is on loopback or requires a client certificate.
	d.Operator.Handle("/debug/pprof/profile", http.HandlerFunc(pprof.Profile))
	d.Operator.Handle("/debug/pprof/heap", pprof.Handler("heap"))
	d.Operator.Handle("/debug/pprof/goroutine", pprof.Handler("goroutine"))
	return d.Operator.Start()
}

func (d *Daemon) registerDumps() {
	d.Operator.RegisterDump("status", d.status)
	d.Operator.RegisterDump("fold", func() any { return d.copyState() })
	d.Operator.RegisterDump("peers", func() any { return d.Peers.Status() })
}

// serveFold answers with the encoded state that results from applying (folding)
// the fleet log, so that commands work while the log is unavailable.
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

// copyState returns a copy of the folded state, which is safe to read from any
// goroutine.
func (d *Daemon) copyState() *fleetlog.State {
	st, err := fleetlog.DecodeState(d.encodedFold())
	if err != nil {
		return nil
	}
	return st
}

// Close stops everything that Start started. The operator server stops first:
// it would report generation 0 if it answered for a stopped node.
func (d *Daemon) Close() {
	if err := d.Operator.Close(); err != nil {
		d.Log.Warn("cannot close operator server", "error", err.Error())
	}
	d.Node.Close()
	if err := d.Peers.Close(); err != nil {
		d.Log.Warn("cannot close peer links", "error", err.Error())
	}
	d.http.CloseIdleConnections()
}
