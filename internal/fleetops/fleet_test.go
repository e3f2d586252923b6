package fleetops_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
)

const (
	sparePool     = "spare"
	instanceCPU   = 1000
	roundInterval = 150 * time.Millisecond
	wallStart     = int64(1_000_000)
	moveTime      = 1500 * time.Millisecond
)

func limits(holder string) fleetops.Limits {
	return fleetops.Limits{Holder: holder, MoveTime: moveTime, MaintainTime: moveTime, HolderTTL: 3 * time.Second}
}

// fleet simulates the platform, which moves and maintains instances, and the pools' owners, which
// vacate endpoints.
type fleet struct {
	now       time.Duration
	state     *fleetops.State
	instances []fleetops.Instance
	// returnsAt is when an instance that is away comes back.
	returnsAt map[string]time.Duration
	// tasks counts the tasks on an endpoint; owners stop none of them.
	tasks map[string]int
	// offered is the work offered to a pool so far, in core-ms; ready is its ready backlog.
	offered, ready, running map[string]float64
	// listLag, if set, freezes the instance list as it was first read.
	listLag, listedAt time.Duration
	minEndpoints      map[string]int
	// reportedEnds are the incarnations whose ends were reported to the owners.
	reportedEnds map[executor.Incarnation]bool
	// keepIDs makes endpoints keep their ids across incarnations; started is when the current
	// incarnation of an endpoint began.
	keepIDs bool
	started map[string]int64
	starved map[string]int
	// longRunning are the endpoints with long-running tasks, which are vacated one at a time, each in
	// longRunningVacateTime; lastVacatedAt is when the last one was.
	longRunning      map[string]bool
	lastVacatedAt    time.Duration
	ordered          []fleetops.Operation
	journal          map[string][]byte
	ordersUnanswered bool
	// lastActions are those of the last round.
	lastActions fleetops.Actions
	// vacating are the endpoints that owners were asked to vacate. Owners don't count them as
	// capacity if leaveOutVacating is set.
	vacating         map[string]bool
	leaveOutVacating bool
	// unusable are the endpoints that can't get tasks before their next incarnation.
	unusable map[string]bool
	// ordersPerSecond is the platform's limit for a successor, 0 for none.
	ordersPerSecond int
	// proofAge is how old the owners' proofs are.
	proofAge time.Duration
}

func newFleet(pools map[string]int) *fleet {
	f := &fleet{now: time.Second, state: fleetops.NewState(limits("a")), returnsAt: map[string]time.Duration{}, tasks: map[string]int{},
		offered: map[string]float64{}, ready: map[string]float64{}, running: map[string]float64{}, journal: map[string][]byte{}, reportedEnds: map[executor.Incarnation]bool{}, started: map[string]int64{}, vacating: map[string]bool{}}
	var names []string
	for pool := range pools {
		names = append(names, pool)
	}
	slices.Sort(names)
	for _, pool := range names {
		for n := range pools[pool] {
			name := fmt.Sprintf("%s-%02d", pool, n)
			f.instances = append(f.instances, fleetops.Instance{Name: name, Pool: pool, Up: true, CPUMilli: instanceCPU, Endpoint: endpointOf(pool, name, 0)})
		}
	}
	return f
}

// takeOver replaces the holder of the duty by another that starts from the journal alone.
func (f *fleet) takeOver() {
	GinkgoHelper()
	l := limits("b")
	l.OrdersPerSecond = f.ordersPerSecond
	f.state = fleetops.NewState(l)
	var records []executor.Record
	for key, value := range f.journal {
		if len(value) > 0 {
			records = append(records, executor.Record{Key: key, Value: value})
		}
	}
	Expect(f.state.Restore(records, f.now, wallStart+f.now.Milliseconds())).To(Succeed())
}

func endpointOf(pool, name string, startedAt time.Duration) string {
	if pool == sparePool {
		return ""
	}
	return fmt.Sprintf("%s/%d", name, startedAt)
}

func (f *fleet) count(pool string) int {
	n := 0
	for _, i := range f.instances {
		if i.Pool == pool && i.Up {
			n++
		}
	}
	return n
}

// round runs one round of the duty, as Runner does.
func (f *fleet) round(pools ...string) {
	f.now += roundInterval
	for n := range f.instances {
		i := &f.instances[n]
		if at, restarting := f.returnsAt[i.Name]; restarting && f.now >= at {
			delete(f.returnsAt, i.Name)
			startedAt := f.now
			if f.keepIDs {
				startedAt = 0
			}
			i.Up, i.Endpoint = true, endpointOf(i.Pool, i.Name, startedAt)
			f.started[i.Endpoint] = f.now.Milliseconds()
		}
	}
	if f.listLag == 0 || f.listedAt == 0 {
		f.state.ObserveInstances(f.now, slices.Clone(f.instances), sparePool)
		f.listedAt = f.now
	}
	for _, pool := range pools {
		f.state.ObservePool(f.now, f.now, pool, f.summary(pool))
	}
	actions := f.state.Decide(f.now, wallStart+f.now.Milliseconds())
	f.lastActions = actions
	f.state.Asked(f.now, actions.VacateItems)
	for _, c := range actions.VacateItems {
		f.vacating[c.Endpoint] = true
	}
	for _, r := range append(f.state.TakeRecords(f.now, wallStart+f.now.Milliseconds()), f.state.ClockRecord(f.now, wallStart+f.now.Milliseconds())) {
		f.journal[r.Key] = r.Value
	}
	f.state.Saved(f.now)
	f.vacateLongRunning(actions.VacateItems)
	for _, c := range actions.VacateItems {
		if c.Ended {
			f.reportedEnds[executor.Incarnation{ID: c.Endpoint, StartedMs: c.StartedMs}] = true
			f.state.ConfirmEnd(c.Instance, c.Endpoint)
		}
		f.state.ObserveVacancy(f.now+time.Millisecond, f.now-f.proofAge, c.Instance, c.Endpoint, executor.Vacancy{Left: f.tasks[c.Endpoint], StartedMs: f.started[c.Endpoint]})
	}
	for _, o := range actions.Orders {
		f.order(o.Operation)
	}
}

func (f *fleet) summary(pool string) executor.Summary {
	s := executor.Summary{Pool: pool, OfferedCoreMs: f.offered[pool], ReadyCoreMs: f.ready[pool], RunningCPUMilli: int(f.running[pool]),
		MinEndpoints: f.minEndpoints[pool], Starved: f.starved[pool]}
	for _, i := range f.instances {
		if i.Pool == pool && i.Up && !(f.leaveOutVacating && f.vacating[i.Endpoint]) {
			load := executor.EndpointLoad{Endpoint: i.Endpoint, Tasks: f.tasks[i.Endpoint], HasLongRunning: f.longRunning[i.Endpoint],
				Renew: f.unusable[i.Endpoint], Unusable: f.unusable[i.Endpoint]}
			s.EndpointLoads = append(s.EndpointLoads, load)
			if !load.Unusable {
				s.Endpoints++
				s.CapacityMilli += instanceCPU
			}
		}
	}
	return s
}

// longRunningVacateTime is how long it takes to move one endpoint's long-running tasks.
const longRunningVacateTime = 2500 * time.Millisecond

// vacateLongRunning moves the long-running tasks of one endpoint at a time, as an owner does.
func (f *fleet) vacateLongRunning(asked []fleetops.VacateItem) {
	for _, c := range asked {
		if !f.longRunning[c.Endpoint] || f.now-f.lastVacatedAt < longRunningVacateTime {
			continue
		}
		f.lastVacatedAt = f.now
		f.tasks[c.Endpoint] = 0
		delete(f.longRunning, c.Endpoint)
	}
}

func (f *fleet) order(op fleetops.Operation) {
	f.ordered = append(f.ordered, op)
	if f.ordersUnanswered {
		return
	}
	for n := range f.instances {
		i := &f.instances[n]
		if i.Name != op.Instance {
			continue
		}
		i.Up, i.Endpoint = false, ""
		if op.Kind == fleetops.KindMove {
			i.Pool = op.To
		}
		f.returnsAt[i.Name] = f.now + moveTime
	}
	f.state.ObserveOrderResult(f.now, op.Instance, fleetops.OrderAccepted)
}

func (f *fleet) maintained() []string {
	var out []string
	for _, op := range f.ordered {
		if op.Kind == fleetops.KindMaintain {
			out = append(out, op.Instance)
		}
	}
	return out
}

func (f *fleet) down() int { return len(f.returnsAt) }

func (f *fleet) names(pool string) []string {
	var out []string
	for _, i := range f.instances {
		if i.Pool == pool {
			out = append(out, i.Name)
		}
	}
	return out
}
