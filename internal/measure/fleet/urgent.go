package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

const (
	urgentRounds = 800
	// urgentEvery is the number of rounds per urgent task; bursts arrive less often.
	urgentEvery = 10
	// urgentMeanRounds and normalMeanRounds are the mean run lengths of tasks in rounds.
	urgentMeanRounds = 10
	normalMeanRounds = 40
	// normalArrivals is the number of normal tasks that arrive per round. Together with the
	// urgent tasks they load the pool to 95 %: with a worker counted as 16 parts, 3.7 tasks
	// of 40 rounds and 1 part take 148 of the 160 parts, and a tenth of a task of 10 rounds
	// and 4 parts takes 4.
	normalArrivals = 3.7
	// maxWaitRounds is the upper bound of the histogram of wait times.
	maxWaitRounds = 10_000
)

// loadProfile defines the arrivals of normal and urgent tasks.
type loadProfile struct {
	name     string
	arrivals float64
	// burst is the number of urgent tasks that arrive together.
	burst int
}

var loadProfiles = []loadProfile{{"95 %", normalArrivals, 1}, {"95 %, bursts of 8", normalArrivals, 8}, {"120 %", 4.8, 1}}

// measureUrgent compares how many rounds urgent tasks wait in a full pool.
func measureUrgent(r report) {
	r.line("## Urgent work in a full pool")
	r.line("")
	r.line("A pool of 10 workers; an urgent task of a quarter of a worker arrives every %d rounds for %d", urgentEvery, urgentRounds)
	r.line("rounds, or as many together less often, among normal tasks of a sixteenth. Rounds until urgent tasks start; a stopped task ends a")
	r.line("round later. Those not started have waited when the series ends.")
	r.line("")
	r.line("| deployment | load | placer | p50 | p99 | most | not started | normal done | normal stopped |")
	r.line("|---|---|---|---|---|---|---|---|---|")
	for _, d := range deployments {
		for _, l := range loadProfiles {
			writeUrgentRow(r, d, l, "estimating, urgent lane", placement.Estimating{})
			writeUrgentRow(r, d, l, "declared, first fit", placement.FirstFit{})
		}
	}
	r.line("")
}

// poolSim simulates one pool whose tasks end by themselves after some rounds.
type poolSim struct {
	rng            *rand.Rand
	in             placement.Input
	placer         placement.Placer
	endRound       map[string]int
	round          int
	lastID         int
	arrivalsDue    float64
	normalDone     int
	stoppedTasks   int
	urgentArrivals map[string]int
	urgentWaits    *hdrhistogram.Histogram
}

func newPoolSim(d deployment, placer placement.Placer) *poolSim {
	sim := &poolSim{
		rng: rand.New(rand.NewPCG(seed, 3)), placer: placer, endRound: map[string]int{},
		urgentArrivals: map[string]int{}, urgentWaits: hdrhistogram.New(1, maxWaitRounds, 3),
	}
	d.workers = 10
	sim.in = placement.Input{History: &placement.History{}, Instances: d.instances()}
	for _, inst := range sim.in.Instances {
		inst.Pool, inst.Phase = "a", pools.PhaseServing
	}
	sim.in.Manifest = &manifest.Manifest{Pools: []manifest.Pool{{Name: "a"}}}
	return sim
}

// addArrivals adds the jobs that arrive in this round to the manifest and removes completed
// jobs from it.
func (sim *poolSim) addArrivals(d deployment, l loadProfile) {
	sim.arrivalsDue += l.arrivals
	for ; sim.arrivalsDue >= 1; sim.arrivalsDue-- {
		sim.lastID++
		sim.addJob(manifest.Job{
			Name: fmt.Sprintf("n%06d", sim.lastID), Tasks: 1, DurationMillis: 1,
			Cores: d.cores / 16, MemoryMB: d.memoryMB / 32,
		})
	}
	for i := range l.burst {
		if sim.round%(urgentEvery*l.burst) != 0 {
			break
		}
		job := fmt.Sprintf("u%06d-%d", sim.round, i)
		sim.urgentArrivals[job] = sim.round + 1
		sim.addJob(manifest.Job{
			Name: job, Tasks: 1, DurationMillis: 1, Priority: manifest.PriorityUrgent,
			Cores: d.cores / 4, MemoryMB: d.memoryMB / 8,
		})
	}
	p := &sim.in.Manifest.Pools[0]
	p.Jobs = slices.DeleteFunc(p.Jobs, func(j manifest.Job) bool { return sim.in.History.Jobs[j.Name].Done[0] })
}

func (sim *poolSim) addJob(j manifest.Job) {
	p := &sim.in.Manifest.Pools[0]
	p.Jobs = append(p.Jobs, j)
}

// step runs one planning round.
func (sim *poolSim) step() {
	sim.round++
	sim.in.NowMillis = int64(sim.round) * roundMillis
	sim.endTasks()
	out := sim.placer.Decide(sim.in)
	sim.applyStops(out.Stops)
	for _, p := range out.Places {
		sim.startTask(p)
	}
}

func (sim *poolSim) endTasks() {
	running := sim.in.Tasks[:0]
	for _, t := range sim.in.Tasks {
		switch {
		case t.Stopping:
		case sim.endRound[t.ID] <= sim.round:
			if sim.job(t.Job).Priority != manifest.PriorityUrgent {
				sim.normalDone++
			}
			sim.in.History.Observe(placement.Outcome{
				Job: sim.job(t.Job), Index: t.Index, Instance: t.Instance, BootID: "1", State: platform.TaskDone,
			})
		default:
			running = append(running, t)
		}
	}
	sim.in.Tasks = running
}

func (sim *poolSim) job(name string) manifest.Job {
	for _, j := range sim.in.Manifest.Pools[0].Jobs {
		if j.Name == name {
			return j
		}
	}
	return manifest.Job{Name: name}
}

func (sim *poolSim) applyStops(stops []placement.Stop) {
	ids := map[string]bool{}
	for _, s := range stops {
		ids[s.Task] = true
	}
	sim.stoppedTasks += len(ids)
	for i := range sim.in.Tasks {
		if ids[sim.in.Tasks[i].ID] {
			sim.in.Tasks[i].Stopping = true
		}
	}
}

func (sim *poolSim) startTask(p placement.Place) {
	sim.lastID++
	id := fmt.Sprintf("t%07d", sim.lastID)
	meanRounds := normalMeanRounds
	if sim.job(p.Job).Priority == manifest.PriorityUrgent {
		meanRounds = urgentMeanRounds
	}
	sim.endRound[id] = sim.round + meanRounds/2 + sim.rng.IntN(meanRounds)
	sim.in.Tasks = append(sim.in.Tasks, placement.Task{
		ID: id, Job: p.Job, Index: p.Index, Instance: p.Instance,
		State: platform.TaskRunning, StartedMillis: sim.in.NowMillis,
	})
	if since, urgent := sim.urgentArrivals[p.Job]; urgent {
		_ = sim.urgentWaits.RecordValue(int64(min(sim.round-since, maxWaitRounds)))
		delete(sim.urgentArrivals, p.Job)
	}
}

func writeUrgentRow(r report, d deployment, l loadProfile, name string, placer placement.Placer) {
	sim := newPoolSim(d, placer)
	for range urgentRounds {
		sim.addArrivals(d, l)
		sim.step()
	}
	r.line("| %s | %s | %s | %d | %d | %d | %d | %d | %d |", d.name, l.name, name,
		sim.urgentWaits.ValueAtQuantile(50), sim.urgentWaits.ValueAtQuantile(99), sim.urgentWaits.Max(),
		len(sim.urgentArrivals), sim.normalDone, sim.stoppedTasks)
}
