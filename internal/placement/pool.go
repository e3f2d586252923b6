package placement

import (
	"cmp"
	"slices"

	"cyclamenwheel/internal/pools"
)

// worker is one worker of a pool in a round.
type worker struct {
	inst *pools.Instance
	free room
	// reserve is the part of free that normal tasks may not use.
	reserve Size
	// soon is the room of tasks that are ending, normal that of normal tasks
	// that could be displaced.
	soon    Size
	normal  Size
	victims []victim
	// claimed is room that an urgent task waits for.
	claimed Size
	// A probing worker has run no task well yet: it gets no more tasks at a
	// time than probes.
	probing bool
	probes  int
	// doubtful: it has failed tasks already. Urgent ones pass over it as well
	// once its probes are spent, but not over one that is merely new.
	doubtful bool
	closed   bool
}

// victim is a normal task that an urgent one may displace.
type victim struct {
	id, job       string
	size          Size
	startedMillis int64
}

// poolWork is one pool's part of a round.
type poolWork struct {
	name    string
	workers []*worker
	// index gives a worker's place in workers.
	index map[string]int
	// capacities are those of all the pool's workers, serving or not.
	capacities []room
	largest    room
	// The trees hold, by worker: room for normal tasks, for urgent ones, the
	// same with what is ending, and with all normal tasks displaced.
	forNormal, forUrgent, withEnding, withNormal *tree
}

// order puts workers of different racks and zones next to each other, so that
// a job that takes one worker after the other is spread over them.
func (p *poolWork) order() {
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

// couldFit tells whether any worker of the pool is large enough when empty.
func (p *poolWork) couldFit(s Size) bool {
	for _, c := range p.capacities {
		if c.fits(s) {
			return true
		}
	}
	return false
}

// hold books a task on its worker.
func (p *poolWork) hold(t *Task, j *jobWork, size Size, ending bool) {
	if p == nil {
		return
	}
	i, ok := p.index[t.Instance]
	if !ok {
		return
	}
	w := p.workers[i]
	w.free = w.free.minus(size)
	w.probes--
	switch {
	case ending:
		w.soon = w.soon.plus(size)
	case j != nil && !j.urgent():
		w.normal = w.normal.plus(size)
		w.victims = append(w.victims, victim{t.ID, t.Job, size, t.StartedMillis})
	}
}

func (s Size) plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{s.Cores - o.Cores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// buildIndex lays the reserve out and builds the trees.
func (p *poolWork) buildIndex(reserve float64, quarantined map[string]bool) {
	for _, w := range p.workers {
		w.closed = quarantined[w.inst.ID]
	}
	p.layReserve(reserve)
	build := func(f func(*worker) room) *tree {
		rooms := make([]room, len(p.workers))
		for i, w := range p.workers {
			rooms[i] = f(w)
		}
		return newTree(rooms)
	}
	p.forNormal, p.forUrgent = build((*worker).roomForNormal), build((*worker).roomForUrgent)
	p.withEnding, p.withNormal = build((*worker).roomWithEnding), build((*worker).roomWithNormal)
}

// layReserve keeps a part of the pool's cores and memory free of normal tasks.
// It is laid on the workers with the most room, whole ones as far as it goes:
// the same part of every worker would be too small for any task. What urgent
// tasks hold already is taken off, as that is what it is for; the resource that
// they hold more of counts, as room that lacks one of the two is no use.
func (p *poolWork) layReserve(part float64) {
	var total, urgent Size
	for _, w := range p.workers {
		total.Cores += w.inst.Cores
		total.MemoryMB += w.inst.MemoryMB
		held := Size{w.inst.Cores - w.free.cores, w.inst.MemoryMB - w.free.memoryMB, 0}
		urgent = urgent.plus(held.minus(w.normal).minus(w.soon))
	}
	used := max(urgent.Cores/max(total.Cores, 1), float64(urgent.MemoryMB)/float64(max(total.MemoryMB, 1)))
	part = max(0, part-used)
	left := Size{Cores: part * total.Cores, MemoryMB: int(part * float64(total.MemoryMB))}
	byRoom := slices.Clone(p.workers)
	slices.SortStableFunc(byRoom, func(a, b *worker) int { return -cmp.Compare(a.free.cores, b.free.cores) })
	for _, w := range byRoom {
		if w.closed || left.Cores <= 0 && left.MemoryMB <= 0 {
			continue
		}
		w.reserve.Cores = max(0, min(left.Cores, w.free.cores))
		w.reserve.MemoryMB = max(0, min(left.MemoryMB, w.free.memoryMB))
		left = left.minus(w.reserve)
	}
}

func (w *worker) roomForNormal() room {
	return roomIf(!w.closed && !w.spent(), w.unclaimed().minus(w.reserve))
}
func (w *worker) roomForUrgent() room { return w.urgentRoom(w.unclaimed()) }
func (w *worker) roomWithEnding() room {
	return w.urgentRoom(w.free.plus(w.soon).minus(w.claimed))
}
func (w *worker) roomWithNormal() room {
	return w.urgentRoom(w.free.plus(w.soon).plus(w.normal).minus(w.claimed))
}

// unclaimed is the free room that will not be needed by urgent tasks that wait
// for others to end.
func (w *worker) unclaimed() room {
	after := w.free.plus(w.soon).minus(w.claimed)
	return room{
		min(w.free.cores, after.cores),
		min(w.free.memoryMB, after.memoryMB),
		min(w.free.accelerators, after.accelerators),
	}
}

func (w *worker) urgentRoom(r room) room {
	return roomIf(!w.closed && !(w.doubtful && w.spent()), r)
}

// spent tells whether a worker that has yet to run a task well has as many as
// it may get until then.
func (w *worker) spent() bool { return w.probing && w.probes <= 0 }

func roomIf(open bool, r room) room {
	if !open {
		return nothing
	}
	return r
}

// update brings the trees up to date with a worker.
func (p *poolWork) update(i int) {
	w := p.workers[i]
	p.forNormal.set(i, w.roomForNormal())
	p.forUrgent.set(i, w.roomForUrgent())
	p.withEnding.set(i, w.roomWithEnding())
	p.withNormal.set(i, w.roomWithNormal())
}
