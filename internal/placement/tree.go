package placement

// capacity is an amount of free or total resources.
type capacity struct {
	cores        float64
	memoryMB     int
	accelerators int
}

func (c capacity) fits(s Size) bool {
	return c.cores >= s.Cores-coresEpsilon && c.memoryMB >= s.MemoryMB && c.accelerators >= s.Accelerators
}

func (c capacity) minus(s Size) capacity {
	return capacity{c.cores - s.Cores, c.memoryMB - s.MemoryMB, c.accelerators - s.Accelerators}
}

func (c capacity) plus(s Size) capacity {
	return capacity{c.cores + s.Cores, c.memoryMB + s.MemoryMB, c.accelerators + s.Accelerators}
}

func (c capacity) max(o capacity) capacity {
	return capacity{max(c.cores, o.cores), max(c.memoryMB, o.memoryMB), max(c.accelerators, o.accelerators)}
}

// coresEpsilon absorbs rounding errors, which would otherwise reject the last
// of ten tasks of 1.6 cores on a worker with 16.
const coresEpsilon = 1e-6

// capacityTree finds a worker with enough free capacity among many. Each node
// holds, per resource, the maximum that any worker below it has free, so a
// search skips branches without enough capacity and an update touches one
// branch.
type capacityTree struct {
	leaves int
	nodes  []capacity
}

// noCapacity is too small for any task.
var noCapacity = capacity{cores: -1, memoryMB: -1, accelerators: -1}

func newCapacityTree(capacities []capacity) *capacityTree {
	leaves := 1
	for leaves < len(capacities) {
		leaves *= 2
	}
	t := &capacityTree{leaves: leaves, nodes: make([]capacity, 2*leaves)}
	for i := range leaves {
		t.nodes[leaves+i] = noCapacity
		if i < len(capacities) {
			t.nodes[leaves+i] = capacities[i]
		}
	}
	for i := leaves - 1; i > 0; i-- {
		t.nodes[i] = t.nodes[2*i].max(t.nodes[2*i+1])
	}
	return t
}

func (t *capacityTree) set(i int, c capacity) {
	i += t.leaves
	t.nodes[i] = c
	for i /= 2; i > 0; i /= 2 {
		t.nodes[i] = t.nodes[2*i].max(t.nodes[2*i+1])
	}
}

// find returns the first worker at or after start, wrapping around at the end,
// that fits s and that skip doesn't exclude; -1 if there is none.
func (t *capacityTree) find(s Size, start int, skip func(int) bool) int {
	if i := t.findInNode(1, 0, t.leaves, start, t.leaves, s, skip); i >= 0 {
		return i
	}
	return t.findInNode(1, 0, t.leaves, 0, start, s, skip)
}

// findInNode searches the node that covers [lo, hi) for workers in [from, to).
func (t *capacityTree) findInNode(node, lo, hi, from, to int, s Size, skip func(int) bool) int {
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
	if i := t.findInNode(2*node, lo, mid, from, to, s, skip); i >= 0 {
		return i
	}
	return t.findInNode(2*node+1, mid, hi, from, to, s, skip)
}
