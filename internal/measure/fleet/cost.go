package fleet

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"time"

	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

const (
	costPools      = 33
	tasksPerWorker = 5
	jobsPerPool    = 20
	costRepeats    = 5
)

var costSizes = []int{50, 500, 5_000, 11_000}

// costCase is a kind of planning round whose cost is measured.
type costCase struct {
	name string
	run  func(w *world, in placement.Input)
}

var costCases = []costCase{
	{"moves, fill an empty fleet", func(w *world, _ placement.Input) {
		empty := w.poolsInput()
		empty.Instances = copyInstances(w.instances, func(inst *pools.Instance) { inst.Pool = "" })
		pools.Decide(empty)
	}},
	{"moves, a zone lost", func(w *world, _ placement.Input) {
		lost := w.poolsInput()
		lost.Instances = copyInstances(w.instances, func(inst *pools.Instance) {
			if inst.Zone == "z0" {
				inst.Phase = pools.PhaseDown
			}
		})
		pools.Decide(lost)
	}},
	{"moves, nothing to do", func(w *world, _ placement.Input) { pools.Decide(w.poolsInput()) }},
	{"spare", func(w *world, _ placement.Input) { pools.Spare(w.poolsInput()) }},
	{"maintenance, all pools", func(w *world, _ placement.Input) {
		in := w.waveInput()
		newRevision := *w.m
		newRevision.Pools = slices.Clone(w.m.Pools)
		for i := range newRevision.Pools {
			newRevision.Pools[i].Maintenance.Revision++
		}
		in.Manifest = &newRevision
		maintenance.Decide(in)
	}},
	{"placement, all tasks new", func(_ *world, in placement.Input) {
		in.Tasks = nil
		placement.Decide(in)
	}},
	{"placement, nothing to do", func(_ *world, in placement.Input) { placement.Decide(in) }},
	{"placement, all cancelled", func(w *world, in placement.Input) {
		in.Manifest = newManifest(poolSizes(len(w.instances)), allButOne)
		placement.Decide(in)
	}},
}

// measureCost measures the time and the allocations of planning rounds at increasing fleet sizes.
func measureCost(r report, sizes []int) {
	r.line("## Cost of a planning round")
	r.line("")
	r.line("%d pools, %d tasks a worker. Median of %d rounds in ms, and MB allocated by a round; the growth is the", costPools, tasksPerWorker, costRepeats)
	r.line("slope of a least-squares line through the logarithms of time and size, the smallest size left out (1: linear).")
	r.line("")
	header, separator := "| round |", "|---|"
	for _, size := range sizes {
		header += fmt.Sprintf(" %d workers |", size)
		separator += "---|"
	}
	r.line("%s growth | MB at the most |", header)
	r.line("%s---|---|", separator)
	times := make([][]float64, len(costCases))
	memory := make([]float64, len(costCases))
	for _, size := range sizes {
		w, in := newSettledFleet(size)
		for i, c := range costCases {
			ms, mb := measureRound(func() { c.run(w, in) })
			times[i], memory[i] = append(times[i], ms), mb
		}
	}
	for i, c := range costCases {
		line := "| " + c.name + " |"
		for _, ms := range times[i] {
			line += fmt.Sprintf(" %.2f |", ms)
		}
		r.line("%s %.2f | %.1f |", line, growthExponent(sizes[1:], times[i][1:]), memory[i])
	}
	r.line("")
}

// poolSizes distributes nine tenths of the workers over the pools.
func poolSizes(workers int) []int {
	counts := make([]int, costPools)
	for i := range counts {
		counts[i] = max(1, workers*9/10/costPools)
	}
	return counts
}

// newSettledFleet returns a fleet whose pools are full and whose tasks are all running.
func newSettledFleet(workers int) (*world, placement.Input) {
	d := deployment{workers: workers, zones: 4, cores: 16, memoryMB: 64 << 10}
	w := newWorld(d, newManifest(poolSizes(workers), allButOne))
	for _, m := range pools.Decide(pools.Input{
		Manifest: w.m, Instances: w.instances, Limits: pools.Limits{MaxMovesInFlight: workers},
	}).Moves {
		w.byID[m.Instance].Pool = m.To
	}
	for i := range w.m.Pools {
		p := &w.m.Pools[i]
		for k := range jobsPerPool {
			p.Jobs = append(p.Jobs, manifest.Job{
				Name: fmt.Sprintf("%s-j%02d", p.Name, k), Cores: 1 + float64(k%3), MemoryMB: 1024,
				Tasks: max(1, p.Instances.Count*tasksPerWorker/jobsPerPool),
			})
		}
	}
	in := placement.Input{Manifest: w.m, Instances: w.instances, History: &placement.History{}}
	for i, p := range placement.Decide(in).Places {
		in.Tasks = append(in.Tasks, placement.Task{
			ID: fmt.Sprintf("t%07d", i), Job: p.Job, Index: p.Index, Instance: p.Instance, State: platform.TaskRunning,
		})
	}
	in.NowMillis = 60_000
	return w, in
}

func copyInstances(instances []*pools.Instance, change func(*pools.Instance)) []*pools.Instance {
	copies := make([]*pools.Instance, len(instances))
	for i, inst := range instances {
		c := *inst
		change(&c)
		copies[i] = &c
	}
	return copies
}

// measureRound returns the median time of a round and the memory that the last one allocated.
func measureRound(run func()) (ms, mb float64) {
	var before, after runtime.MemStats
	times := make([]float64, costRepeats)
	for i := range times {
		runtime.GC()
		runtime.ReadMemStats(&before)
		start := time.Now()
		run()
		times[i] = float64(time.Since(start).Microseconds()) / 1000
		runtime.ReadMemStats(&after)
		mb = float64(after.TotalAlloc-before.TotalAlloc) / (1 << 20)
	}
	slices.Sort(times)
	return times[costRepeats/2], mb
}

// growthExponent is the slope of a least-squares line through the logarithms of size and time.
func growthExponent(sizes []int, times []float64) float64 {
	var sx, sy, sxx, sxy float64
	n := float64(len(sizes))
	for i, size := range sizes {
		x, y := math.Log(float64(size)), math.Log(max(times[i], 0.001))
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}
