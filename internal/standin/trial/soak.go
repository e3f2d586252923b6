package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"cyclamenwheel/internal/standin/wire"
)

// Report is the result of a run of jobs under faults.
type Report struct {
	Jobs, Accepted, Refused, Tasks int
	// Faults are the injected faults, in order.
	Faults []string
	// Unfinished are accepted jobs that did not reach their end state; Broken are the violations
	// that the endpoints observed.
	Unfinished, Broken []string
}

// Passed reports whether jobs were accepted, all of them finished, and no violation was observed.
func (r Report) Passed() bool { return len(r.Unfinished) == 0 && len(r.Broken) == 0 && r.Accepted > 0 }

const (
	// faultInterval is the mean interval between faults, and maxFaultDuration the longest
	// duration of a temporary fault.
	faultInterval    = 900 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// submitInterval is the pause of each submitter between its jobs.
	submitInterval = 60 * time.Millisecond
	submitters     = 3
	// crashingInterval is the mean interval between jobs whose tasks crash their endpoints.
	crashingInterval = 3 * time.Second
	// fullCPU is the full CPU capacity of an endpoint in thousandths of a core.
	fullCPU = 16000
	// minLimit leaves each account capacity for some tasks, and firstVersion is the version of
	// the configuration that the nodes start with.
	minLimit     = 2000
	firstVersion = 1
	// serviceWidth is the number of tasks of each long-running job.
	serviceWidth = 3
	// servicesTimeout bounds the wait for the long-running tasks after the last fault.
	servicesTimeout = 20 * time.Second
	// drainTimeout bounds the wait for the last jobs.
	drainTimeout = 60 * time.Second
)

// Soak submits jobs for the given duration, under random faults drawn from the seed if faults is
// set, then waits for all of them.
func Soak(c *Cluster, host string, pools []string, seed uint64, duration time.Duration, faults bool) Report {
	callers := make([]*Caller, submitters)
	for s := range callers {
		a := SoakAccounts[s%len(SoakAccounts)]
		callers[s] = &Caller{Cluster: c, Host: host, Account: a.Name, Key: a.Keys[0]}
	}
	end := time.Now().Add(duration)
	var r Report
	var all []Submission
	var mu sync.Mutex
	services := &Caller{Cluster: c, Host: host, Account: ServiceAccount.Name, Key: ServiceAccount.Keys[0]}
	for n, pool := range pools {
		all = append(all, services.SubmitService(pool, (submitters+2)<<32+n, serviceWidth))
	}
	var wg sync.WaitGroup
	for s := range submitters {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(s)))
			for n := 1; time.Now().Before(end); n++ {
				j := callers[s].Submit(pools[rng.IntN(len(pools))], (s+1)<<32+n, 1+rng.IntN(5), 50+rng.IntN(300))
				mu.Lock()
				all = append(all, j)
				mu.Unlock()
				time.Sleep(submitInterval)
			}
		})
	}
	if faults {
		wg.Go(func() {
			for _, j := range submitCrashing(callers[0], pools, seed, end) {
				mu.Lock()
				all = append(all, j)
				mu.Unlock()
			}
		})
		r.Faults = injectUntil(c, host, pools, seed, end)
	}
	wg.Wait()
	r.Unfinished = append(callers[0].AwaitAll(all, drainTimeout), awaitServices(c.Platform)...)
	r.Broken = c.Platform.Violations()
	for _, j := range all {
		r.Jobs++
		if j.Accepted {
			r.Accepted++
			r.Tasks += j.Tasks
		}
		if j.Refused {
			r.Refused++
		}
	}
	return r
}

// SoakAccounts are the accounts that submit jobs. Their limits are a fraction of the fleet.
var SoakAccounts = []wire.Account{{Name: "alpha", Keys: []string{"alpha-key-1"}, CPUMilli: 8000}, {Name: "beta", Keys: []string{"beta-key-1"}, CPUMilli: 30000}}

// ServiceAccount submits the long-running jobs.
var ServiceAccount = wire.Account{Name: "services", Keys: []string{"services-key-1"}}

// awaitServices waits until all tasks of the long-running jobs are at work, and returns those that
// are not within servicesTimeout.
func awaitServices(p *wire.Platform) []string {
	deadline := time.Now().Add(servicesTimeout)
	for len(p.NotAtWork()) > 0 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	var out []string
	for _, task := range p.NotAtWork() {
		out = append(out, task+" is not at work")
	}
	return out
}

// submitCrashing submits jobs whose tasks crash their endpoints, until end.
func submitCrashing(caller *Caller, pools []string, seed uint64, end time.Time) []Submission {
	rng := rand.New(rand.NewPCG(seed, 79))
	var all []Submission
	for n := 1; time.Now().Add(crashingInterval).Before(end); n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * crashingInterval))))
		all = append(all, caller.SubmitCrashing(pools[rng.IntN(len(pools))], (submitters+1)<<32+n))
	}
	return all
}

// injector injects one fault after another; temporary faults overlap.
type injector struct {
	c     *Cluster
	pools []string
	rng   *rand.Rand
	// restartRand, capacityRand, powerRand and limitRand draw further faults, apart from rng, so
	// that a seed keeps the order of the faults that rng draws.
	restartRand, capacityRand, powerRand, limitRand *rand.Rand
	wave, version                                   int
	host                                            string
	faults                                          []string
	wg                                              sync.WaitGroup
	// busy holds the nodes that are being restarted or are frozen.
	busy sync.Map
}

func injectUntil(c *Cluster, host string, pools []string, seed uint64, end time.Time) []string {
	in := &injector{c: c, host: host, pools: pools, version: firstVersion, limitRand: rand.New(rand.NewPCG(seed, 82)), rng: rand.New(rand.NewPCG(seed, 77)), restartRand: rand.New(rand.NewPCG(seed, 78)),
		capacityRand: rand.New(rand.NewPCG(seed, 80)), powerRand: rand.New(rand.NewPCG(seed, 81))}
	for time.Now().Add(faultInterval).Before(end) {
		time.Sleep(faultInterval/2 + time.Duration(in.rng.Int64N(int64(faultInterval))))
		in.injectFault()
		in.restartEndpoint()
		in.resizeEndpoint()
		in.losePower()
		in.changeLimits()
	}
	in.wg.Wait()
	c.Platform.SetFaults(wire.Faults{})
	c.Platform.SetStoreDown(false)
	return in.faults
}

func (in *injector) injectFault() {
	node := in.c.nodes[in.rng.IntN(len(in.c.nodes))]
	duration := time.Duration(in.rng.Int64N(int64(maxFaultDuration)))
	pool := in.pools[in.rng.IntN(len(in.pools))]
	kind := in.rng.IntN(7)
	in.faults = append(in.faults, fmt.Sprintf("%d on %s, %s for %v", kind, node.Name, pool, duration))
	switch kind {
	case 0:
		in.restart(node, syscall.SIGKILL, duration)
	case 1:
		in.restart(node, syscall.SIGTERM, 0)
	case 2:
		in.freeze(node, duration)
	case 3:
		in.c.Platform.SetStoreDown(true)
		in.runAfter(duration, func() { in.c.Platform.SetStoreDown(false) })
	case 4:
		in.c.Platform.SetFaults(wire.Faults{LostAnswers: 0.3, LostOrders: 0.2})
		in.runAfter(duration, func() { in.c.Platform.SetFaults(wire.Faults{}) })
	case 5:
		in.recordError(in.c.Platform.KillEndpoint(pool))
	case 6:
		in.wave++
		in.recordError(in.c.Platform.PublishWave(in.wave, 2, 20*time.Second, in.c.Platform.Instances(pool)...))
	}
}

// restartEndpoint restarts an endpoint under its id, with probability 1/2.
func (in *injector) restartEndpoint() {
	pool := in.pools[in.restartRand.IntN(len(in.pools))]
	if in.restartRand.IntN(2) == 0 {
		return
	}
	in.faults = append(in.faults, "an endpoint of "+pool+" restarts under its id")
	in.recordError(in.c.Platform.RestartEndpoint(pool))
}

// resizeEndpoint sets the CPU capacity of an endpoint to a random quarter step of fullCPU.
func (in *injector) resizeEndpoint() {
	pool, cpu := in.pools[in.capacityRand.IntN(len(in.pools))], fullCPU*(1+in.capacityRand.IntN(4))/4
	in.faults = append(in.faults, fmt.Sprintf("an endpoint of %s has %d of cpu", pool, cpu))
	in.c.Platform.ResizeEndpoint(pool, cpu)
}

// losePower kills and restarts all nodes at once, with probability 1/12.
func (in *injector) losePower() {
	if in.powerRand.IntN(12) != 0 {
		return
	}
	in.faults = append(in.faults, "all nodes lose power")
	downtime := time.Duration(in.powerRand.Int64N(int64(maxFaultDuration)))
	for _, n := range in.c.nodes {
		in.restart(n, syscall.SIGKILL, downtime)
	}
}

// changeLimits publishes new account limits, with probability 1/3.
func (in *injector) changeLimits() {
	if in.limitRand.IntN(3) != 0 {
		return
	}
	accounts := slices.Clone(SoakAccounts)
	for i := range accounts {
		accounts[i].CPUMilli = minLimit + in.limitRand.IntN(accounts[i].CPUMilli)
	}
	accounts = append(accounts, ServiceAccount)
	in.version++
	in.faults = append(in.faults, fmt.Sprintf("limits are %d and %d", accounts[0].CPUMilli, accounts[1].CPUMilli))
	in.c.Platform.SetAccounts(accounts...)
	in.recordError(in.c.Platform.Publish(in.version, in.host, in.pools...))
}

func (in *injector) recordError(err error) {
	if err != nil {
		in.faults = append(in.faults, "failed: "+err.Error())
	}
}

func (in *injector) runAfter(d time.Duration, f func()) {
	in.wg.Go(func() {
		time.Sleep(d)
		f()
	})
}

// restart ends a node with a signal and starts it again after the downtime.
func (in *injector) restart(n *Node, s syscall.Signal, downtime time.Duration) {
	if _, busy := in.busy.LoadOrStore(n.Name, true); busy {
		return
	}
	in.recordError(n.Signal(s))
	in.wg.Go(func() {
		defer in.busy.Delete(n.Name)
		n.Wait()
		time.Sleep(downtime)
		if err := in.c.Run(n); err != nil {
			panic(err)
		}
	})
}

// freeze suspends a node's process for the duration.
func (in *injector) freeze(n *Node, duration time.Duration) {
	if _, busy := in.busy.LoadOrStore(n.Name, true); busy {
		return
	}
	in.recordError(n.Signal(syscall.SIGSTOP))
	in.runAfter(duration, func() {
		defer in.busy.Delete(n.Name)
		_ = n.Signal(syscall.SIGCONT) // a stopped process can't have ended
	})
}
