package slots

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// membership is one version of the set of entries that share slots.
type membership struct {
	version uint64
	members []string // sorted
}

// shares divides an instance's slots evenly. The remainder goes to the first
// members in rendezvous order, which differs between instances, so that no
// member is favored overall.
func (m membership) shares(instance string, slots int) map[string]int {
	n := len(m.members)
	out := make(map[string]int, n)
	if n == 0 {
		return out
	}
	for i, member := range m.rendezvousOrder(instance) {
		out[member] = slots / n
		if i < slots%n {
			out[member]++
		}
	}
	return out
}

// rendezvousOrder returns the members sorted by their weight for an instance.
func (m membership) rendezvousOrder(instance string) []string {
	weights := make(map[string]uint64, len(m.members))
	for _, member := range m.members {
		weights[member] = rendezvousWeight(member, instance)
	}
	out := slices.Clone(m.members)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return out
}

func rendezvousWeight(member, instance string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(member) // a hash's Write never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(instance)
	return d.Sum64()
}
