package placement

import (
	"cmp"
	"slices"

	"cyclamenwheel/internal/pools"
)

// worker is the state of one worker in a round.
type worker struct {
	inst *pools.Instance
	free capacity
	// reserve is the part of free that only urgent tasks may use.
	reserve Size
	// endingSize is the capacity of tasks that are ending, displaceable that of
	// normal tasks, which urgent ones may displace. victims lists the latter.
	endingSize   Size
	displaceable Size
	victims      []victim
	// claimedUrgent is capacity that urgent tasks wait for; it is freed by
	// ending tasks.
	claimedUrgent Size
	// An unproven worker has run no task well yet and gets at most
	// trialTasksLeft more tasks.
	unproven       bool
	trialTasksLeft int
	// hasFailures: tasks have failed on the unproven worker. Once its trial
	// tasks are used up, it gets no urgent tasks either, unlike a worker that
	// is merely new.
	hasFailures  bool
	inQuarantine bool
}

// victim is a normal task that an urgent one may displace.
type victim struct {
	id, job       string
	size          Size
	startedMillis int64
}

// poolState is the state of one pool in a round.
type poolState struct {
	name    string
	workers []*worker
	// index maps an instance id to its position in workers.
	index map[string]int
	// capacities holds the total capacity of each worker of the pool, serving
	// or not.
	capacities []capacity
	largest    capacity
	// The trees hold the free capacity of each worker: for normal tasks, for
	// urgent tasks, for urgent tasks once the ending tasks have ended, and the
	// same with all normal tasks displaced.
	normalFree, urgentFree, freeAfterEnding, freeAfterDisplacing *capacityTree
}

// sortForSpread puts workers of different racks and zones next to each other,
// so that a job placed on consecutive workers is spread over them.
func (p *poolState) sortForSpread() {
	slices.SortFunc(p.workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.inst.Zone, b.inst.Zone), cmp.Compare(a.inst.Rack, b.inst.Rack),
			cmp.Compare(a.inst.ID, b.inst.ID))
	})
	type place struct{ inRack, rackInZone int }
	places := make(map[*worker]place, len(p.workers))
	inRack, racksOfZone, rackRank := map[[2]string]int{}, map[string]int{}, map[[2]string]int{}
	for _, w := range p.workers {
		rack := [2]string{w.inst.Zone, w.inst.Rack}
		if _, seen := rackRank[rack]; !seen {
			rackRank[rack] = racksOfZone[w.inst.Zone]
			racksOfZone[w.inst.Zone]++
		}
		places[w] = place{inRack: inRack[rack], rackInZone: rackRank[rack]}
		inRack[rack]++
	}
	slices.SortStableFunc(p.workers, func(a, b *worker) int {
		pa, pb := places[a], places[b]
		return cmp.Or(cmp.Compare(pa.inRack, pb.inRack), cmp.Compare(pa.rackInZone, pb.rackInZone))
	})
	for i, w := range p.workers {
		p.index[w.inst.ID] = i
	}
}

// fitsEmptyWorker reports whether any worker of the pool is large enough when
// empty.
func (p *poolState) fitsEmptyWorker(s Size) bool {
	for _, c := range p.capacities {
		if c.fits(s) {
			return true
		}
	}
	return false
}

// addTask subtracts a task's size from the free capacity of its worker.
func (p *poolState) addTask(t *Task, j *jobState, size Size, ending bool) {
	if p == nil {
		return
	}
	i, ok := p.index[t.Instance]
	if !ok {
		return
	}
	w := p.workers[i]
	w.free = w.free.minus(size)
	w.trialTasksLeft--
	switch {
	case ending:
		w.endingSize = w.endingSize.plus(size)
	case j != nil && !j.urgent():
		w.displaceable = w.displaceable.plus(size)
		w.victims = append(w.victims, victim{t.ID, t.Job, size, t.StartedMillis})
	}
}

func (s Size) plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{s.Cores - o.Cores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// buildIndex assigns the urgent reserve to workers and builds the trees.
func (p *poolState) buildIndex(reserve float64, quarantined map[string]bool) {
	for _, w := range p.workers {
		w.inQuarantine = quarantined[w.inst.ID]
	}
	p.assignReserve(reserve)
	build := func(f func(*worker) capacity) *capacityTree {
		capacities := make([]capacity, len(p.workers))
		for i, w := range p.workers {
			capacities[i] = f(w)
		}
		return newCapacityTree(capacities)
	}
	p.normalFree, p.urgentFree = build((*worker).freeForNormal), build((*worker).freeForUrgent)
	p.freeAfterEnding, p.freeAfterDisplacing = build((*worker).freeForUrgentAfterEnding), build((*worker).freeForUrgentAfterDisplacing)
}

// assignReserve reserves a share of the pool's cores and memory for urgent
// tasks. It reserves all free capacity of the workers with the most free cores
// until the share is reached: an equal share of every worker would be too small
// for any task. Capacity that urgent tasks already use is subtracted from the
// share, by the resource of which they use the larger part, because capacity
// that lacks either resource is useless.
func (p *poolState) assignReserve(share float64) {
	var total, urgent Size
	for _, w := range p.workers {
		total.Cores += w.inst.Cores
		total.MemoryMB += w.inst.MemoryMB
		booked := Size{w.inst.Cores - w.free.cores, w.inst.MemoryMB - w.free.memoryMB, 0}
		urgent = urgent.plus(booked.minus(w.displaceable).minus(w.endingSize))
	}
	used := max(urgent.Cores/max(total.Cores, 1), float64(urgent.MemoryMB)/float64(max(total.MemoryMB, 1)))
	share = max(0, share-used)
	left := Size{Cores: share * total.Cores, MemoryMB: int(share * float64(total.MemoryMB))}
	byFreeCores := slices.Clone(p.workers)
	slices.SortStableFunc(byFreeCores, func(a, b *worker) int { return -cmp.Compare(a.free.cores, b.free.cores) })
	for _, w := range byFreeCores {
		if w.inQuarantine || left.Cores <= 0 && left.MemoryMB <= 0 {
			continue
		}
		w.reserve.Cores = max(0, min(left.Cores, w.free.cores))
		w.reserve.MemoryMB = max(0, min(left.MemoryMB, w.free.memoryMB))
		left = left.minus(w.reserve)
	}
}

func (w *worker) freeForNormal() capacity {
	return capacityIf(!w.inQuarantine && !w.trialExhausted(), w.unclaimed().minus(w.reserve))
}
func (w *worker) freeForUrgent() capacity { return w.usableByUrgent(w.unclaimed()) }
func (w *worker) freeForUrgentAfterEnding() capacity {
	return w.usableByUrgent(w.free.plus(w.endingSize).minus(w.claimedUrgent))
}
func (w *worker) freeForUrgentAfterDisplacing() capacity {
	return w.usableByUrgent(w.free.plus(w.endingSize).plus(w.displaceable).minus(w.claimedUrgent))
}

// unclaimed returns the free capacity that urgent tasks waiting for others to
// end will not need.
func (w *worker) unclaimed() capacity {
	after := w.free.plus(w.endingSize).minus(w.claimedUrgent)
	return capacity{
		min(w.free.cores, after.cores),
		min(w.free.memoryMB, after.memoryMB),
		min(w.free.accelerators, after.accelerators),
	}
}

func (w *worker) usableByUrgent(c capacity) capacity {
	return capacityIf(!w.inQuarantine && !(w.hasFailures && w.trialExhausted()), c)
}

// trialExhausted reports whether an unproven worker has as many tasks as it may
// get until one has run well.
func (w *worker) trialExhausted() bool { return w.unproven && w.trialTasksLeft <= 0 }

func capacityIf(open bool, c capacity) capacity {
	if !open {
		return noCapacity
	}
	return c
}

// update updates the trees with the state of the i-th worker.
func (p *poolState) update(i int) {
	w := p.workers[i]
	p.normalFree.set(i, w.freeForNormal())
	p.urgentFree.set(i, w.freeForUrgent())
	p.freeAfterEnding.set(i, w.freeForUrgentAfterEnding())
	p.freeAfterDisplacing.set(i, w.freeForUrgentAfterDisplacing())
}
