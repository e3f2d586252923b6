// Command cyclamen-trial runs whole deployments on this machine: a stand-in of
// the platform with its endpoints, and real nodes. The demo brings jobs through
// a maintenance wave and the loss of an endpoint and a node; the soak breaks
// things at random. Both end with 0 only if nothing was lost or doubled.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
)

const (
	host = "jobs.example"
	// readyLimit bounds the start of a deployment.
	readyLimit = 30 * time.Second
	exitBroken = 1
	exitUsage  = 2
)

// shapes are pools and their instances, as the two users have them.
var shapes = map[string]map[string]int{
	"portlouis": {"tabdesk": 8, "shiftbook": 9, "roompost": 11, "payhouse": 12, wire.SparePool: 8},
	"kelaniya":  {"fieldlog": 9, "inspectsvc": 9, "readings": 11, "faultdesk": 12, wire.SparePool: 8},
}

type options struct {
	program, shape, logs string
	nodes, seconds       int
	seed                 uint64
}

func main() {
	o := options{program: "bin/cyclamen-node", shape: "portlouis", nodes: 6, seconds: 12, seed: 1}
	flaggy.SetName("cyclamen-trial")
	flaggy.SetDescription("runs a deployment on the platform's stand-in")
	flaggy.String(&o.program, "", "program", "path of cyclamen-node")
	flaggy.String(&o.shape, "", "shape", "portlouis or kelaniya")
	flaggy.String(&o.logs, "", "logs", "directory for settings and logs; a temporary one by default")
	flaggy.Int(&o.nodes, "n", "nodes", "number of nodes")
	flaggy.Int(&o.seconds, "s", "seconds", "how long jobs are handed in")
	flaggy.UInt64(&o.seed, "", "seed", "seed of jobs and faults")
	demo, soak := flaggy.NewSubcommand("demo"), flaggy.NewSubcommand("soak")
	demo.Description, soak.Description = "a wave, and the loss of an endpoint and a node", "random faults of a seed"
	flaggy.AttachSubcommand(demo, 1)
	flaggy.AttachSubcommand(soak, 1)
	flaggy.Parse()
	if !demo.Used && !soak.Used || shapes[o.shape] == nil {
		flaggy.ShowHelp("name demo or soak, and a known shape")
		os.Exit(exitUsage)
	}
	os.Exit(run(o, soak.Used))
}

func run(o options, random bool) int {
	report, dir, err := play(o, random)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	out, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Println(string(out))
	if !report.Whole() {
		fmt.Println("BROKEN; seed", o.seed, "logs in", dir)
		return exitBroken
	}
	fmt.Println("nothing lost, nothing doubled; seed", o.seed)
	return 0
}

func play(o options, random bool) (trial.Report, string, error) {
	dir := o.logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "cyclamen-trial-"); err != nil {
			return trial.Report{}, "", err
		}
	}
	platform, err := wire.New(shapes[o.shape], o.seed)
	if err != nil {
		return trial.Report{}, dir, err
	}
	defer platform.Close()
	var pools []string
	for pool := range shapes[o.shape] {
		if pool != wire.SparePool {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools) // one seed, one run
	if err := platform.Publish(1, host, pools...); err != nil {
		return trial.Report{}, dir, err
	}
	c, err := trial.Start(o.program, dir, platform, o.nodes)
	if err != nil {
		return trial.Report{}, dir, err
	}
	defer c.Close()
	awaitReady(c)
	if !random {
		go planned(c, pools[0])
	}
	return trial.Soak(c, host, pools, o.seed, time.Duration(o.seconds)*time.Second, random), dir, nil
}

func awaitReady(c *trial.Cluster) {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range c.Nodes() {
			ready = ready && n.Ready()
		}
		if ready {
			return
		}
	}
}

// planned is the demo's trouble: a wave over one pool, an endpoint that dies and
// a node that is killed and started again.
func planned(c *trial.Cluster, pool string) {
	report := func(what string, err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, what+":", err)
			return
		}
		fmt.Println("==", what)
	}
	time.Sleep(2 * time.Second)
	report("maintenance wave over pool "+pool, c.Platform.AskWave(1, 3, 20*time.Second, c.Platform.Instances(pool)...))
	time.Sleep(2 * time.Second)
	report("an endpoint of "+pool+" dies", c.Platform.KillEndpoint(pool))
	n := c.Nodes()[0]
	report("node "+n.Name+" is killed", n.Signal(syscall.SIGKILL))
	n.Wait()
	report("node "+n.Name+" starts again", c.Run(n))
}
