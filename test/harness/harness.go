// Package harness runs a deployment for the integration tests: a stand-in
// platform inside the test, and real cyclamen-entry and cyclamen-control
// processes, each of which reaches the platform and, where asked for, its
// peers through proxies that the test can cut, slow and reset.
//
// It is made for Ginkgo: New registers the cleanup, and a failure inside a
// method fails the spec.
package harness

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/loopback"
)

// Patience is how long a test waits for something that must come about. It is
// generous: only a test that fails waits for so long.
const Patience = 60 * time.Second

// Poll is the time between two looks at a condition.
const Poll = 20 * time.Millisecond

// Deployment is the name of the tests' deployment.
const Deployment = "proof"

// Timings of the stand-in: short, but in the proportions of a real platform.
const (
	DefaultLag    = 60 * time.Millisecond
	DefaultReboot = 100 * time.Millisecond
	reportLag     = 50 * time.Millisecond
	drainLimit    = 10 * time.Second
)

// Options say what to start. Zero values take the defaults.
type Options struct {
	Entries  int // 3
	Controls int // 2
	// Workers is the fleet; twelve workers in three availability zones by
	// default.
	Workers standin.FleetSpec
	// Lag is the instance list's, Reboot how long a reboot takes.
	Lag, Reboot time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// PeerProxies puts a UDP proxy in front of each process, which CutPeers
	// needs.
	PeerProxies bool
	// FenceAfter is how long a silent entry may hold a handover up; the
	// product's default if 0.
	FenceAfter time.Duration
	// Settings are added to the processes' settings, by section and key.
	Settings map[string]map[string]string
}

func (o Options) withDefaults() Options {
	if o.Entries == 0 {
		o.Entries = 3
	}
	if o.Controls == 0 {
		o.Controls = 2
	}
	if o.Lag == 0 {
		o.Lag = DefaultLag
	}
	if o.Reboot == 0 {
		o.Reboot = DefaultReboot
	}
	if len(o.Workers.Zones) == 0 {
		o.Workers = Fleet(2)
	}
	return o
}

// Zones of the tests' fleets.
var Zones = []string{"north", "east", "south"}

// Fleet describes a fleet of racks with two workers each, racksPerZone in each
// of the Zones. Workers are called w001 and so on.
func Fleet(racksPerZone int) standin.FleetSpec {
	spec := standin.FleetSpec{
		InstancesPerRack: 2, Cores: 16, MemoryMB: 65536, Slots: 8, Connections: 64, IDPrefix: "w",
	}
	for _, z := range Zones {
		spec.Zones = append(spec.Zones, standin.ZoneSpec{Name: z, Racks: racksPerZone})
	}
	return spec
}

// Cluster is a running deployment.
type Cluster struct {
	// Standin steers the platform and tells what really happened.
	Standin *standin.ControlClient
	// PlatformURL and ControlURL are the stand-in's, without a proxy between.
	PlatformURL, ControlURL string

	opts     Options
	platform *standin.Standin
	dir      string
	net      *loopback.Network
	peers    *peerNetwork
	loads    []*Load
	ledger   ledger
	watch    *watcher
	stop     context.CancelFunc
	watched  chan struct{}

	mu       sync.Mutex // guards what Successor changes
	entries  []*Process
	controls []*Process
	retired  []*Process
	started  map[Role]int
}

// New starts a deployment and waits until every process is a member. It is
// closed at the end of the spec.
func New(opts Options) *Cluster {
	ginkgo.GinkgoHelper()
	opts = opts.withDefaults()
	c := &Cluster{opts: opts, dir: ginkgo.GinkgoT().TempDir(), net: claimNetwork(), watched: make(chan struct{}), started: map[Role]int{}}
	ginkgo.DeferCleanup(c.Close)
	c.startPlatform()
	c.peers = newPeerNetwork()
	for range opts.Entries {
		c.entries = append(c.entries, c.newProcess(RoleEntry))
	}
	for range opts.Controls {
		c.controls = append(c.controls, c.newProcess(RoleControl))
	}
	c.issueCertificates(c.All()...)
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go c.enforceFences(ctx)
	for _, p := range c.All() {
		p.Start()
	}
	for _, p := range c.All() {
		p.AwaitMember()
	}
	return c
}

func (c *Cluster) startPlatform() {
	ginkgo.GinkgoHelper()
	spec := c.opts.Workers
	for i := range c.opts.Entries {
		spec.Entries = append(spec.Entries, standin.EntrySpec{
			ID: instanceOf(RoleEntry, i), Zone: zoneOf(i), Addr: addressOf(c.net, RoleEntry, i) + ":0"})
	}
	for i := range c.opts.Controls {
		spec.Entries = append(spec.Entries, standin.EntrySpec{
			ID: instanceOf(RoleControl, i), Zone: zoneOf(i), Addr: addressOf(c.net, RoleControl, i) + ":0"})
	}
	c.platform = standin.New(standin.Options{
		Fleet: spec, Lag: c.opts.Lag, Reboot: c.opts.Reboot, Retention: c.opts.Retention,
		ReportLag: reportLag, DrainLimit: drainLimit, Logger: slog.New(slog.DiscardHandler),
	})
	gomega.Expect(c.platform.Start()).To(gomega.Succeed())
	c.PlatformURL, c.ControlURL = c.platform.URL(), c.platform.ControlURL()
	c.Standin = standin.NewControlClient(c.ControlURL)
}

func (c *Cluster) issueCertificates(processes ...*Process) {
	ginkgo.GinkgoHelper()
	var ids []string
	for _, p := range processes {
		ids = append(ids, string(p.Role)+"/"+p.ID)
	}
	gomega.Expect(certs.Create(c.dir, Deployment, ids...)).To(gomega.Succeed())
}

func instanceOf(role Role, i int) string { return fmt.Sprintf("host-%s-%d", role, i+1) }

func zoneOf(i int) string { return Zones[i%len(Zones)] }

// Entry returns entry number i, from 0.
func (c *Cluster) Entry(i int) *Process { return c.Entries()[i] }

// Control returns control process number i, from 0.
func (c *Cluster) Control(i int) *Process { return c.Controls()[i] }

// Entries returns all entries.
func (c *Cluster) Entries() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.entries)
}

// Controls returns all control processes.
func (c *Cluster) Controls() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.controls)
}

// All returns all processes, entries first.
func (c *Cluster) All() []*Process { return append(c.Entries(), c.Controls()...) }

// Planner returns the control process that holds the planner lease, and waits
// for there to be one.
func (c *Cluster) Planner() *Process {
	ginkgo.GinkgoHelper()
	var holder *Process
	gomega.Eventually(func() bool {
		holder = c.planner()
		return holder != nil
	}, Patience, Poll).Should(gomega.BeTrue(), "no control process holds the planner lease")
	return holder
}

func (c *Cluster) planner() *Process {
	for _, p := range c.Controls() {
		var view struct {
			Holds bool `json:"holds_lease"`
		}
		if p.Alive() && p.Dump("planner", &view) == nil && view.Holds {
			return p
		}
	}
	return nil
}

// OtherControls returns the control processes other than p.
func (c *Cluster) OtherControls(p *Process) []*Process {
	var out []*Process
	for _, o := range c.Controls() {
		if o != p {
			out = append(out, o)
		}
	}
	return out
}

// Close ends everything that New started, and prints the processes' logs if
// the spec has failed.
func (c *Cluster) Close() {
	for _, l := range c.loads {
		l.abandon()
	}
	c.watch.stop()
	if c.stop != nil {
		c.stop()
		<-c.watched
	}
	for _, p := range c.All() {
		p.reap()
	}
	if ginkgo.CurrentSpecReport().Failed() {
		c.printLogs()
	}
	for _, p := range append(c.All(), c.retired...) {
		p.closeLinks()
	}
	if c.platform != nil {
		c.platform.Close()
		c.Standin.Close()
	}
	c.net.Release()
}

// logTail is how much of each process's log is printed.
const logTail = 24 << 10

func (c *Cluster) printLogs() {
	for _, p := range append(c.All(), c.retired...) {
		data, err := os.ReadFile(p.logFile)
		if err != nil {
			continue
		}
		if len(data) > logTail {
			data = data[len(data)-logTail:]
		}
		_, _ = fmt.Fprintf(ginkgo.GinkgoWriter, "---- log of %s\n%s\n", p.ID, data)
	}
}

// enforceFences does what a platform does before it lists a fenced instance as
// gone: the processes on it are stopped.
func (c *Cluster) enforceFences(ctx context.Context) {
	defer close(c.watched)
	for ctx.Err() == nil {
		rows, err := c.Standin.Instances(ctx)
		for _, row := range rows {
			if err == nil && row.Fenced {
				c.stopHost(row.ID)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(Poll):
		}
	}
}

func (c *Cluster) stopHost(instance string) {
	for _, p := range c.All() {
		if p.Instance == instance && p.Alive() {
			p.signalKill()
		}
	}
}
