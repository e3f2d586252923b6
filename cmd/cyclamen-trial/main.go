// Command cyclamen-trial runs a complete deployment on the local machine: a
// simulated platform with its endpoints, and real node processes. demo runs jobs
// during a maintenance wave and the loss of an endpoint and a node, soak injects
// random faults, and cost measures the processor time of a task. demo and soak
// exit with 0 only if nothing was lost or executed twice.
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
	jobsHost = "jobs.example"
	// readyTimeout bounds the wait for all nodes to become ready.
	readyTimeout   = 30 * time.Second
	exitViolations = 1
	exitUsage      = 2
)

// shapes maps the names of the two users' deployments to their pools and the
// number of instances in each.
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
	demo, soak, cost := flaggy.NewSubcommand("demo"), flaggy.NewSubcommand("soak"), flaggy.NewSubcommand("cost")
	demo.Description, soak.Description = "a wave, and the loss of an endpoint and a node", "random faults of a seed"
	cost.Description = "processor time for each task of a steady load, with a profile of each node"
	for _, sub := range []*flaggy.Subcommand{demo, soak, cost} {
		flaggy.AttachSubcommand(sub, 1)
	}
	flaggy.Parse()
	if cost.Used {
		os.Exit(measureCost(o))
	}
	if !demo.Used && !soak.Used || shapes[o.shape] == nil {
		flaggy.ShowHelp("name demo, soak or cost, and a known shape")
		os.Exit(exitUsage)
	}
	os.Exit(run(o, soak.Used))
}

func run(o options, randomFaults bool) int {
	report, dir, err := runScenario(o, randomFaults)
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
	if !report.Passed() {
		fmt.Println("BROKEN; seed", o.seed, "logs in", dir)
		return exitViolations
	}
	fmt.Println("nothing lost, nothing doubled; seed", o.seed)
	return 0
}

func runScenario(o options, randomFaults bool) (report trial.Report, dir string, err error) {
	dir, err = withDeployment(o, shapes[o.shape], append(trial.SoakAccounts, trial.ServiceAccount), func(c *trial.Cluster, pools []string, _ string) error {
		if !randomFaults {
			go injectDemoFaults(c, pools[0])
		}
		report = trial.Soak(c, jobsHost, pools, o.seed, time.Duration(o.seconds)*time.Second, randomFaults)
		return nil
	})
	return report, dir, err
}

// costShape has one pool, large enough to occupy a node fully at peak demand.
var costShape = map[string]int{"pool": 96}

// Load: the task length and job rate of a large pool.
const (
	costJobs   = 100
	costWidth  = 8
	costWorkMs = 300
	// singleCoreEnv limits a node to one core, as nodes usually have on the
	// platform.
	singleCoreEnv = "GOMAXPROCS=1"
)

// measureCost prints the processor time that nodes use for each task.
func measureCost(o options) int {
	var cost trial.Cost
	_, err := withDeployment(o, costShape, nil, func(c *trial.Cluster, pools []string, dir string) (err error) {
		cost, err = trial.MeasureCost(c, jobsHost, trial.Load{Pool: pools[0], JobsPerSecond: costJobs, Width: costWidth,
			WorkMs: costWorkMs, Duration: time.Duration(o.seconds) * time.Second}, dir)
		return err
	}, singleCoreEnv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Printf("%d of %d jobs accepted, %d tasks begun, %.0f us of processor time a task\n",
		cost.Accepted, cost.Jobs, cost.Tasks, cost.ProcessorMicros)
	for _, path := range cost.Profiles {
		fmt.Println("profile:", path)
	}
	return 0
}

// withDeployment runs a platform and its nodes while it calls use, and returns
// the directory of their logs. env is added to the nodes' environment.
func withDeployment(o options, shape map[string]int, accounts []wire.Account, use func(c *trial.Cluster, pools []string, dir string) error, env ...string) (dir string, err error) {
	dir = o.logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "cyclamen-trial-"); err != nil {
			return "", err
		}
	}
	platform, err := wire.New(shape, o.seed)
	if err != nil {
		return dir, err
	}
	defer platform.Close()
	var pools []string
	for pool := range shape {
		if pool != wire.SparePool {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools) // makes runs with one seed repeatable
	platform.SetAccounts(accounts...)
	if err := platform.Publish(1, jobsHost, pools...); err != nil {
		return dir, err
	}
	c, err := trial.Start(o.program, dir, platform, o.nodes, env...)
	if err != nil {
		return dir, err
	}
	defer c.Close()
	awaitReady(c)
	return dir, use(c, pools, dir)
}

func awaitReady(c *trial.Cluster) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range c.Nodes() {
			ready = ready && n.Ready()
		}
		if ready {
			return
		}
	}
}

// injectDemoFaults runs the disruptions of the demo: a maintenance wave over one
// pool, the crash of an endpoint, and the kill and restart of a node.
func injectDemoFaults(c *trial.Cluster, pool string) {
	report := func(what string, err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, what+":", err)
			return
		}
		fmt.Println("==", what)
	}
	time.Sleep(2 * time.Second)
	report("maintenance wave over pool "+pool, c.Platform.PublishWave(1, 3, 20*time.Second, c.Platform.Instances(pool)...))
	time.Sleep(2 * time.Second)
	report("an endpoint of "+pool+" dies", c.Platform.KillEndpoint(pool))
	n := c.Nodes()[0]
	report("node "+n.Name+" is killed", n.Signal(syscall.SIGKILL))
	n.Wait()
	report("node "+n.Name+" starts again", c.Run(n))
}
