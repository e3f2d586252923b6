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

// Report is what a run of jobs under trouble came to.
type Report struct {
	Jobs, Accepted, Refused, Tasks int
	// Faults are what was done, in order.
	Faults []string
	// Unfinished are accepted jobs that did not complete; Broken is what the
	// endpoints saw go wrong.
	Unfinished, Broken []string
}

// Whole reports whether nothing was lost, doubled or left.
func (r Report) Whole() bool { return len(r.Unfinished) == 0 && len(r.Broken) == 0 && r.Accepted > 0 }

const (
	// faultEvery spaces faults, and faultLasts is how long those that end last
	// at most.
	faultEvery = 900 * time.Millisecond
	faultLasts = 2500 * time.Millisecond
	// submitEvery spaces a submitter's jobs.
	submitEvery = 60 * time.Millisecond
	submitters  = 3
	// crashingEvery spaces, in the mean, jobs whose tasks crash their endpoints.
	crashingEvery = 3 * time.Second
	// fullRoom is the processor room of an endpoint in thousandths of a core.
	fullRoom = 16000
	// leastLimit leaves each account room for some tasks, and firstVersion is that of the
	// configuration that the nodes begin with.
	leastLimit   = 2000
	firstVersion = 1
	// drainLimit bounds the wait for the last jobs.
	drainLimit = 60 * time.Second
)

// Soak hands jobs in for a while, under random faults of a seed if faults is
// set, then waits for all of them.
func Soak(c *Cluster, host string, pools []string, seed uint64, lasts time.Duration, faults bool) Report {
	callers := make([]*Caller, submitters)
	for s := range callers {
		a := SoakAccounts[s%len(SoakAccounts)]
		callers[s] = &Caller{Cluster: c, Host: host, Account: a.Name, Key: a.Keys[0]}
	}
	end := time.Now().Add(lasts)
	var r Report
	var all []Submitted
	var mu sync.Mutex
	var wg sync.WaitGroup
	for s := range submitters {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(s)))
			for n := 1; time.Now().Before(end); n++ {
				j := callers[s].Submit(pools[rng.IntN(len(pools))], (s+1)<<32+n, 1+rng.IntN(5), 50+rng.IntN(300))
				mu.Lock()
				all = append(all, j)
				mu.Unlock()
				time.Sleep(submitEvery)
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
	r.Unfinished = callers[0].AwaitAll(all, drainLimit)
	r.Broken = c.Platform.Broken()
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

// SoakAccounts are whose jobs are handed in. Their limits are a fraction of the fleet.
var SoakAccounts = []wire.Account{{Name: "alpha", Keys: []string{"alpha-key-1"}, CPUMilli: 8000}, {Name: "beta", Keys: []string{"beta-key-1"}, CPUMilli: 30000}}

// submitCrashing hands in jobs whose tasks crash their endpoints.
func submitCrashing(caller *Caller, pools []string, seed uint64, end time.Time) []Submitted {
	rng := rand.New(rand.NewPCG(seed, 79))
	var all []Submitted
	for n := 1; time.Now().Add(crashingEvery).Before(end); n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * crashingEvery))))
		all = append(all, caller.SubmitCrashing(pools[rng.IntN(len(pools))], (submitters+1)<<32+n))
	}
	return all
}

// injector does one fault after the other; those that last overlap.
type injector struct {
	c     *Cluster
	pools []string
	rng   *rand.Rand
	// restarts draws what befalls endpoints beside the faults of rng, whose order a seed
	// keeps.
	restarts, rooms, power, limits *rand.Rand
	wave, version                  int
	host                           string
	done                           []string
	wg                             sync.WaitGroup
	// busy are nodes that a fault is under way on.
	busy sync.Map
}

func injectUntil(c *Cluster, host string, pools []string, seed uint64, end time.Time) []string {
	in := &injector{c: c, host: host, pools: pools, version: firstVersion, limits: rand.New(rand.NewPCG(seed, 82)), rng: rand.New(rand.NewPCG(seed, 77)), restarts: rand.New(rand.NewPCG(seed, 78)),
		rooms: rand.New(rand.NewPCG(seed, 80)), power: rand.New(rand.NewPCG(seed, 81))}
	for time.Now().Add(faultEvery).Before(end) {
		time.Sleep(faultEvery/2 + time.Duration(in.rng.Int64N(int64(faultEvery))))
		in.one()
		in.restartEndpoint()
		in.resizeEndpoint()
		in.losePower()
		in.changeLimits()
	}
	in.wg.Wait()
	c.Platform.SetFaults(wire.Faults{})
	c.Platform.SetStoreDown(false)
	return in.done
}

func (in *injector) one() {
	node := in.c.nodes[in.rng.IntN(len(in.c.nodes))]
	lasts := time.Duration(in.rng.Int64N(int64(faultLasts)))
	pool := in.pools[in.rng.IntN(len(in.pools))]
	kind := in.rng.IntN(7)
	in.done = append(in.done, fmt.Sprintf("%d on %s, %s for %v", kind, node.Name, pool, lasts))
	switch kind {
	case 0:
		in.restart(node, syscall.SIGKILL, lasts)
	case 1:
		in.restart(node, syscall.SIGTERM, 0)
	case 2:
		in.freeze(node, lasts)
	case 3:
		in.c.Platform.SetStoreDown(true)
		in.after(lasts, func() { in.c.Platform.SetStoreDown(false) })
	case 4:
		in.c.Platform.SetFaults(wire.Faults{LostAnswers: 0.3, LostOrders: 0.2})
		in.after(lasts, func() { in.c.Platform.SetFaults(wire.Faults{}) })
	case 5:
		in.note(in.c.Platform.KillEndpoint(pool))
	case 6:
		in.wave++
		in.note(in.c.Platform.AskWave(in.wave, 2, 20*time.Second, in.c.Platform.Instances(pool)...))
	}
}

// restartEndpoint lets an endpoint restart under its id, half of the time.
func (in *injector) restartEndpoint() {
	pool := in.pools[in.restarts.IntN(len(in.pools))]
	if in.restarts.IntN(2) == 0 {
		return
	}
	in.done = append(in.done, "an endpoint of "+pool+" restarts under its id")
	in.note(in.c.Platform.RestartEndpoint(pool))
}

// resizeEndpoint lets the room of an endpoint shrink, or grow again.
func (in *injector) resizeEndpoint() {
	pool, cpu := in.pools[in.rooms.IntN(len(in.pools))], fullRoom*(1+in.rooms.IntN(4))/4
	in.done = append(in.done, fmt.Sprintf("an endpoint of %s has %d of cpu", pool, cpu))
	in.c.Platform.ResizeEndpoint(pool, cpu)
}

// losePower kills all nodes at once, now and then, and starts them again.
func (in *injector) losePower() {
	if in.power.IntN(12) != 0 {
		return
	}
	in.done = append(in.done, "all nodes lose power")
	away := time.Duration(in.power.Int64N(int64(faultLasts)))
	for _, n := range in.c.nodes {
		in.restart(n, syscall.SIGKILL, away)
	}
}

// changeLimits publishes other limits of the accounts, now and then.
func (in *injector) changeLimits() {
	if in.limits.IntN(3) != 0 {
		return
	}
	accounts := slices.Clone(SoakAccounts)
	for i := range accounts {
		accounts[i].CPUMilli = leastLimit + in.limits.IntN(accounts[i].CPUMilli)
	}
	in.version++
	in.done = append(in.done, fmt.Sprintf("limits are %d and %d", accounts[0].CPUMilli, accounts[1].CPUMilli))
	in.c.Platform.SetAccounts(accounts...)
	in.note(in.c.Platform.Publish(in.version, in.host, in.pools...))
}

func (in *injector) note(err error) {
	if err != nil {
		in.done = append(in.done, "failed: "+err.Error())
	}
}

func (in *injector) after(d time.Duration, f func()) {
	in.wg.Go(func() {
		time.Sleep(d)
		f()
	})
}

// restart ends a node by a signal and starts it again.
func (in *injector) restart(n *Node, s syscall.Signal, away time.Duration) {
	if _, busy := in.busy.LoadOrStore(n.Name, true); busy {
		return
	}
	in.note(n.Signal(s))
	in.wg.Go(func() {
		defer in.busy.Delete(n.Name)
		n.Wait()
		time.Sleep(away)
		if err := in.c.Run(n); err != nil {
			panic(err)
		}
	})
}

// freeze stops a node's process and lets it go on.
func (in *injector) freeze(n *Node, lasts time.Duration) {
	if _, busy := in.busy.LoadOrStore(n.Name, true); busy {
		return
	}
	in.note(n.Signal(syscall.SIGSTOP))
	in.after(lasts, func() {
		defer in.busy.Delete(n.Name)
		_ = n.Signal(syscall.SIGCONT) // the process can't have ended while stopped
	})
}
