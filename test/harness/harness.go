// Package harness runs a whole deployment for the integration suites: a
// stand-in platform inside the test process, and real cyclamen-entry and
// cyclamen-control processes. From Options it decides the fleet, the settings
// and the proxies through which each process reaches the platform and, if
// requested, its peers, so that a suite can cut, delay or block these
// connections and check the recorded guarantees afterwards. The Ginkgo suites
// under test call it: New registers the cleanup, and a failed expectation
// inside a method fails the spec.
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

// Timeout is the timeout of waits for a condition. It is generous, as only a
// failing test waits that long.
const Timeout = 60 * time.Second

// PollInterval is the interval between two checks of a condition.
const PollInterval = 20 * time.Millisecond

// Deployment is the deployment name that the tests use.
const Deployment = "proof"

// Timings of the stand-in platform: shorter than those of a real platform, in
// the same proportions.
const (
	DefaultLag    = 60 * time.Millisecond
	DefaultReboot = 100 * time.Millisecond
	reportLag     = 50 * time.Millisecond
	drainLimit    = 10 * time.Second
)

// Options configure a cluster. Zero values select the defaults.
type Options struct {
	Entries  int // 3
	Controls int // 2
	// Workers is the fleet; by default twelve workers in three availability
	// zones.
	Workers standin.FleetSpec
	// Lag is the delay of the instance list, Reboot the duration of a reboot.
	Lag, Reboot time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// PeerProxies puts a UDP proxy in front of each process; CutPeers needs
	// it.
	PeerProxies bool
	// FenceAfter is how long an unresponsive entry may delay a handover
	// before it is fenced; 0 keeps the default of the settings.
	FenceAfter time.Duration
	// Settings are added to every process's settings, by section and key.
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

// Zones are the availability zones of the test fleets.
var Zones = []string{"north", "east", "south"}

// Fleet describes a fleet with racksPerZone racks of two workers in each of
// the Zones. The workers are called w001, w002 and so on.
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
	// Standin controls the stand-in platform and returns its records.
	Standin *standin.ControlClient
	// PlatformURL and ControlURL reach the stand-in directly, without a
	// proxy.
	PlatformURL, ControlURL string

	opts           Options
	platform       *standin.Standin
	dir            string
	net            *loopback.Network
	peers          *peerNetwork
	loads          []*Load
	manifests      manifestHistory
	generations    *generationWatcher
	stopFencing    context.CancelFunc
	fencingStopped chan struct{}

	mu       sync.Mutex // guards the fields that Successor changes
	entries  []*Process
	controls []*Process
	retired  []*Process
	created  map[Role]int
}

// New starts a deployment and waits until every process is a member. The
// deployment is closed at the end of the spec.
func New(opts Options) *Cluster {
	ginkgo.GinkgoHelper()
	opts = opts.withDefaults()
	c := &Cluster{opts: opts, dir: ginkgo.GinkgoT().TempDir(), net: claimNetwork(), fencingStopped: make(chan struct{}), created: map[Role]int{}}
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
	c.stopFencing = cancel
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
			ID: instanceID(RoleEntry, i), Zone: zoneOf(i), Addr: addressOf(c.net, RoleEntry, i) + ":0"})
	}
	for i := range c.opts.Controls {
		spec.Entries = append(spec.Entries, standin.EntrySpec{
			ID: instanceID(RoleControl, i), Zone: zoneOf(i), Addr: addressOf(c.net, RoleControl, i) + ":0"})
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

func instanceID(role Role, i int) string { return fmt.Sprintf("host-%s-%d", role, i+1) }

func zoneOf(i int) string { return Zones[i%len(Zones)] }

// Entry returns entry i, counted from 0.
func (c *Cluster) Entry(i int) *Process { return c.Entries()[i] }

// Control returns control process i, counted from 0.
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

// Planner waits until a control process holds the planner lease and returns
// it.
func (c *Cluster) Planner() *Process {
	ginkgo.GinkgoHelper()
	var planner *Process
	gomega.Eventually(func() bool {
		planner = c.planner()
		return planner != nil
	}, Timeout, PollInterval).Should(gomega.BeTrue(), "no control process holds the planner lease")
	return planner
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

// Close stops everything that New started, and prints the logs of the
// processes if the spec has failed.
func (c *Cluster) Close() {
	for _, l := range c.loads {
		l.cancelAndWait()
	}
	c.generations.stop()
	if c.stopFencing != nil {
		c.stopFencing()
		<-c.fencingStopped
	}
	for _, p := range c.All() {
		p.killAndWait()
	}
	if ginkgo.CurrentSpecReport().Failed() {
		c.printLogs()
	}
	for _, p := range append(c.All(), c.retired...) {
		p.closeProxies()
	}
	if c.platform != nil {
		c.platform.Close()
		c.Standin.Close()
	}
	c.net.Release()
}

// logTail is the number of bytes printed from the end of each process's log.
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

// enforceFences kills the processes on fenced instances, as a platform does
// before it lists a fenced instance as gone.
func (c *Cluster) enforceFences(ctx context.Context) {
	defer close(c.fencingStopped)
	for ctx.Err() == nil {
		rows, err := c.Standin.Instances(ctx)
		for _, row := range rows {
			if err == nil && row.Fenced {
				c.killProcessesOn(row.ID)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(PollInterval):
		}
	}
}

func (c *Cluster) killProcessesOn(instance string) {
	for _, p := range c.All() {
		if p.Instance == instance && p.Alive() {
			p.tryKill()
		}
	}
}
