package placement

// room is free capacity.
type room struct {
	cores        float64
	memoryMB     int
	accelerators int
}

func (r room) fits(s Size) bool {
	return r.cores >= s.Cores-coresEpsilon && r.memoryMB >= s.MemoryMB && r.accelerators >= s.Accelerators
}

func (r room) minus(s Size) room {
	return room{r.cores - s.Cores, r.memoryMB - s.MemoryMB, r.accelerators - s.Accelerators}
}

func (r room) plus(s Size) room {
	return room{r.cores + s.Cores, r.memoryMB + s.MemoryMB, r.accelerators + s.Accelerators}
}

func (r room) max(o room) room {
	return room{max(r.cores, o.cores), max(r.memoryMB, o.memoryMB), max(r.accelerators, o.accelerators)}
}

// coresEpsilon absorbs rounding, which else would refuse the last of ten tasks
// of 1.6 cores on a worker of 16.
const coresEpsilon = 1e-6

// tree finds a worker with enough room among many. Every node keeps the most of
// each resource that a worker below it has free, so a search skips whole
// branches that are too full and an update touches one branch.
type tree struct {
	leaves int
	nodes  []room
}

// nothing is less room than any task needs.
var nothing = room{cores: -1, memoryMB: -1, accelerators: -1}

func newTree(rooms []room) *tree {
	leaves := 1
	for leaves < len(rooms) {
		leaves *= 2
	}
	t := &tree{leaves: leaves, nodes: make([]room, 2*leaves)}
	for i := range leaves {
		t.nodes[leaves+i] = nothing
		if i < len(rooms) {
			t.nodes[leaves+i] = rooms[i]
		}
	}
	for i := leaves - 1; i > 0; i-- {
		t.nodes[i] = t.nodes[2*i].max(t.nodes[2*i+1])
	}
	return t
}

func (t *tree) set(i int, r room) {
	i += t.leaves
	t.nodes[i] = r
	for i /= 2; i > 0; i /= 2 {
		t.nodes[i] = t.nodes[2*i].max(t.nodes[2*i+1])
	}
}

// find returns the first worker from start on, around the end, that has room
// for s and that skip doesn't name; -1 where there is none.
func (t *tree) find(s Size, start int, skip func(int) bool) int {
	if i := t.findIn(1, 0, t.leaves, start, t.leaves, s, skip); i >= 0 {
		return i
	}
	return t.findIn(1, 0, t.leaves, 0, start, s, skip)
}

// findIn searches the node that covers [lo, hi) for workers in [from, to).
func (t *tree) findIn(node, lo, hi, from, to int, s Size, skip func(int) bool) int {
	if hi <= from || lo >= to || !t.nodes[node].fits(s) {
		return -1
	}
	if hi-lo == 1 {
		if skip != nil && skip(lo) {
			return -1
		}
		return lo
	}
	mid := (lo + hi) / 2
	if i := t.findIn(2*node, lo, mid, from, to, s, skip); i >= 0 {
		return i
	}
	return t.findIn(2*node+1, mid, hi, from, to, s, skip)
}
