package fleet

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

const (
	urgentRounds = 600
	urgentJobs   = 120
	// maxWait bounds the histogram of rounds waited.
	maxWait = 10_000
)

// measureUrgent compares how many rounds urgent work waits in a full pool.
func measureUrgent(r report) {
	r.line("## Urgent work in a full pool")
	r.line("")
	r.line("A pool of 10 workers whose normal tasks use 95 %% and have a backlog; %d urgent tasks of a quarter", urgentJobs)
	r.line("of a worker arrive over %d rounds. A stopped task ends a round later.", urgentRounds)
	r.line("")
	r.line("| deployment | placer | p50 | p99 | most | not started | normal tasks stopped |")
	r.line("|---|---|---|---|---|---|---|")
	for _, d := range both {
		urgentLine(r, d, "estimating, urgent lane", placement.Estimating{})
		urgentLine(r, d, "declared, first fit", placement.FirstFit{})
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
	for i := range 8 {
		y.publish(manifest.Job{
			Name: fmt.Sprintf("bulk%d", i), Tasks: 1000, DurationMillis: 1,
			Cores: d.cores / 16, MemoryMB: d.memoryMB / 32,
		})
	}
	return y
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
	y.endsAt[id] = y.round + 20 + y.rng.IntN(40)
	y.in.Tasks = append(y.in.Tasks, placement.Task{
		ID: id, Job: p.Job, Index: p.Index, Instance: p.Instance,
		State: platform.TaskRunning, StartedMillis: y.in.NowMillis,
	})
	if since, urgent := y.arrived[p.Job]; urgent {
		_ = y.waits.RecordValue(int64(min(y.round-since, maxWait)))
		delete(y.arrived, p.Job)
	}
}

func urgentLine(r report, d deployment, name string, placer placement.Placer) {
	y := newYard(d, placer)
	for range 60 {
		y.step()
	}
	for i := range urgentRounds {
		if i%(urgentRounds/urgentJobs) == 0 {
			job := fmt.Sprintf("urgent%d", i)
			y.arrived[job] = y.round + 1
			y.publish(manifest.Job{
				Name: job, Tasks: 1, DurationMillis: 1, Priority: manifest.PriorityUrgent,
				Cores: d.cores / 4, MemoryMB: d.memoryMB / 8,
			})
		}
		y.step()
	}
	r.line("| %s | %s | %d | %d | %d | %d | %d |", d.name, name, y.waits.ValueAtQuantile(50),
		y.waits.ValueAtQuantile(99), y.waits.Max(), len(y.arrived), y.stopped)
}
