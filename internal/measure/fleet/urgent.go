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
	// urgentEvery rounds an urgent task arrives.
	urgentEvery = 10
	// urgentLasts and normalLasts are how many rounds a task runs on average.
	urgentLasts = 10
	normalLasts = 40
	// normalArrivals a round keep the pool at 95 % together with urgent ones:
	// 3.7 tasks of 40 rounds and a sixteenth of a worker are 148 of 160 parts,
	// and a tenth of a task of 10 rounds and a quarter of a worker is 4.
	normalArrivals = 3.7
	// maxWait bounds the histogram of rounds waited.
	maxWait = 10_000
)

// load is how much normal work arrives beside urgent tasks.
type load struct {
	name     string
	arrivals float64
	// burst is how many urgent tasks arrive together.
	burst int
}

var loads = []load{{"95 %", normalArrivals, 1}, {"95 %, bursts of 8", normalArrivals, 8}, {"120 %", 4.8, 1}}

// measureUrgent compares how many rounds urgent work waits in a full pool.
func measureUrgent(r report) {
	r.line("## Urgent work in a full pool")
	r.line("")
	r.line("A pool of 10 workers; an urgent task of a quarter of a worker arrives every %d rounds for %d", urgentEvery, urgentRounds)
	r.line("rounds, or as many together less often, among normal tasks of a sixteenth. Rounds until urgent tasks start; a stopped task ends a")
	r.line("round later. Those not started have waited when the series ends.")
	r.line("")
	r.line("| deployment | load | placer | p50 | p99 | most | not started | normal done | normal stopped |")
	r.line("|---|---|---|---|---|---|---|---|---|")
	for _, d := range both {
		for _, l := range loads {
			urgentLine(r, d, l, "estimating, urgent lane", placement.Estimating{})
			urgentLine(r, d, l, "declared, first fit", placement.FirstFit{})
		}
	}
	r.line("")
}

// yard is one pool whose tasks end by themselves after some rounds.
type yard struct {
	rng     *rand.Rand
	in      placement.Input
	placer  placement.Placer
	endsAt  map[string]int
	round   int
	next    int
	backlog float64
	done    int
	stopped int
	arrived map[string]int
	waits   *hdrhistogram.Histogram
}

func newYard(d deployment, placer placement.Placer) *yard {
	y := &yard{
		rng: rand.New(rand.NewPCG(seed, 3)), placer: placer, endsAt: map[string]int{},
		arrived: map[string]int{}, waits: hdrhistogram.New(1, maxWait, 3),
	}
	d.workers = 10
	y.in = placement.Input{History: &placement.History{}, Instances: d.instances()}
	for _, inst := range y.in.Instances {
		inst.Pool, inst.Phase = "a", pools.PhaseServing
	}
	y.in.Manifest = &manifest.Manifest{Pools: []manifest.Pool{{Name: "a"}}}
	return y
}

// arrive publishes the normal jobs of one round, and drops those that are done
// from the manifest now and then.
func (y *yard) arrive(d deployment, l load) {
	y.backlog += l.arrivals
	for ; y.backlog >= 1; y.backlog-- {
		y.next++
		y.publish(manifest.Job{
			Name: fmt.Sprintf("n%06d", y.next), Tasks: 1, DurationMillis: 1,
			Cores: d.cores / 16, MemoryMB: d.memoryMB / 32,
		})
	}
	for i := range l.burst {
		if y.round%(urgentEvery*l.burst) != 0 {
			break
		}
		job := fmt.Sprintf("u%06d-%d", y.round, i)
		y.arrived[job] = y.round + 1
		y.publish(manifest.Job{
			Name: job, Tasks: 1, DurationMillis: 1, Priority: manifest.PriorityUrgent,
			Cores: d.cores / 4, MemoryMB: d.memoryMB / 8,
		})
	}
	p := &y.in.Manifest.Pools[0]
	p.Jobs = slices.DeleteFunc(p.Jobs, func(j manifest.Job) bool { return y.in.History.Jobs[j.Name].Done[0] })
}

func (y *yard) publish(j manifest.Job) {
	p := &y.in.Manifest.Pools[0]
	p.Jobs = append(p.Jobs, j)
}

// step runs one round.
func (y *yard) step() {
	y.round++
	y.in.NowMillis = int64(y.round) * roundMillis
	y.endTasks()
	out := y.placer.Decide(y.in)
	y.stop(out.Stops)
	for _, p := range out.Places {
		y.place(p)
	}
}

func (y *yard) endTasks() {
	kept := y.in.Tasks[:0]
	for _, t := range y.in.Tasks {
		switch {
		case t.Stopping:
		case y.endsAt[t.ID] <= y.round:
			if y.job(t.Job).Priority != manifest.PriorityUrgent {
				y.done++
			}
			y.in.History.Observe(placement.Outcome{
				Job: y.job(t.Job), Index: t.Index, Instance: t.Instance, BootID: "1", State: platform.TaskDone,
			})
		default:
			kept = append(kept, t)
		}
	}
	y.in.Tasks = kept
}

func (y *yard) job(name string) manifest.Job {
	for _, j := range y.in.Manifest.Pools[0].Jobs {
		if j.Name == name {
			return j
		}
	}
	return manifest.Job{Name: name}
}

func (y *yard) stop(stops []placement.Stop) {
	ids := map[string]bool{}
	for _, s := range stops {
		ids[s.Task] = true
	}
	y.stopped += len(ids)
	for i := range y.in.Tasks {
		if ids[y.in.Tasks[i].ID] {
			y.in.Tasks[i].Stopping = true
		}
	}
}

func (y *yard) place(p placement.Place) {
	y.next++
	id := fmt.Sprintf("t%07d", y.next)
	lasts := normalLasts
	if y.job(p.Job).Priority == manifest.PriorityUrgent {
		lasts = urgentLasts
	}
	y.endsAt[id] = y.round + lasts/2 + y.rng.IntN(lasts)
	y.in.Tasks = append(y.in.Tasks, placement.Task{
		ID: id, Job: p.Job, Index: p.Index, Instance: p.Instance,
		State: platform.TaskRunning, StartedMillis: y.in.NowMillis,
	})
	if since, urgent := y.arrived[p.Job]; urgent {
		_ = y.waits.RecordValue(int64(min(y.round-since, maxWait)))
		delete(y.arrived, p.Job)
	}
}

func urgentLine(r report, d deployment, l load, name string, placer placement.Placer) {
	y := newYard(d, placer)
	for range urgentRounds {
		y.arrive(d, l)
		y.step()
	}
	r.line("| %s | %s | %s | %d | %d | %d | %d | %d | %d |", d.name, l.name, name,
		y.waits.ValueAtQuantile(50), y.waits.ValueAtQuantile(99), y.waits.Max(),
		len(y.arrived), y.done, y.stopped)
}
