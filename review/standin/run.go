package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// ExitOf returns the exit code for a number of broken rules.
func ExitOf(broken int) int {
	if broken > 0 {
		return ExitBroken
	}
	return ExitHeld
}

// Sizes of a small deployment's workers.
const (
	workerCPU   = 64000
	workerMemMB = 131072
	rackSize    = 4
)

// Deployment is what a case runs on.
type Deployment struct {
	Host string
	// Pools are the numbers of machines by pool.
	Pools map[string]int
	// KindOf returns the kind of the n-th machine of a pool; all are of kind a by default.
	KindOf func(pool string, n int) string
}

// Trial is a running deployment.
type Trial struct {
	// Trouble is false if the disruption is to be left out.
	Trouble  bool
	Rec      *Record
	Platform *Platform
	Cluster  *Cluster
	Client   *Client
	Jobs     *Jobs
}

// Run starts seven nodes in three zones, plays a case on them and ends them.
func Run(name string, d Deployment, play func(*Trial) int) int {
	rec, err := NewRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		return ExitNotRun
	}
	defer removeLogs(dir)
	p := NewPlatform(rec)
	defer p.Close()
	var pools []string
	if d.KindOf == nil {
		d.KindOf = func(string, int) string { return "a" }
	}
	for pool, count := range d.Pools {
		if pool != SparePool {
			pools = append(pools, pool)
		}
		for n := range count {
			if err := p.AddMachine(fmt.Sprintf("m-%s-%02d", pool, n), pool, "colombo-a", d.KindOf(pool, n), fmt.Sprintf("r1-%d", n/rackSize), workerCPU, workerMemMB); err != nil {
				return ExitNotRun
			}
		}
	}
	p.Publish(3, d.Host, pools...)
	zones := []string{"colombo-a", "colombo-a", "colombo-a", "kelaniya-b", "kelaniya-b", "moratuwa-c", "moratuwa-c"}
	c, err := StartCluster(dir, rec, zones, p.Listen)
	if err != nil {
		rec.Printf("NOT RUN: %v", err)
		c.Close()
		return ExitNotRun
	}
	defer c.Close()
	go closeAtSignal(c)
	if !c.AwaitReady(20 * time.Second) {
		rec.Printf("NOT RUN: the nodes are not ready")
		return ExitNotRun
	}
	client := &Client{Cluster: c, Host: d.Host, Rec: rec}
	stop := make(chan struct{})
	defer close(stop)
	go client.Watch(stop)
	time.Sleep(2 * time.Second)
	return play(&Trial{Trouble: os.Getenv("TROUBLE") != "0", Rec: rec, Platform: p, Cluster: c, Client: client,
		Jobs: &Jobs{Rec: rec, Platform: p, Client: client}})
}

// closeAtSignal ends the nodes if the case itself is stopped.
func closeAtSignal(c *Cluster) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	c.Close()
	os.Exit(ExitNotRun)
}

// removeLogs removes the nodes' settings and logs, unless they are to be kept.
func removeLogs(dir string) {
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	}
}
