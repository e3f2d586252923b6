// Package rendezvous assigns keys to members by highest random weight. Every
// process that knows the same members names the same owner without asking
// anybody, and a member that comes or goes moves only its own share of keys.
package rendezvous

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member with the highest weight for key; ok is false where
// there are no members. The order of members doesn't matter.
func Owner(key []byte, members []string) (owner string, ok bool) {
	keySum := xxhash.Sum64(key)
	var best uint64
	for _, m := range members {
		w := weight(keySum, m)
		if !ok || w > best || w == best && m < owner {
			owner, best, ok = m, w, true
		}
	}
	return owner, ok
}

// Ranked returns the members by falling weight for key: the owner first, then
// the one that would own the key without it, and so on.
func Ranked(key []byte, members []string) []string {
	keySum := xxhash.Sum64(key)
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(weight(keySum, b), weight(keySum, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// Weighted returns the members by falling score for key, where a member's
// chance of being first is its share of all weights.
func Weighted(key []byte, weights map[string]float64) []string {
	keySum := xxhash.Sum64(key)
	scores := make(map[string]float64, len(weights))
	for m, w := range weights {
		uniform := (float64(weight(keySum, m)>>11) + 0.5) / (1 << 53)
		scores[m] = -w / math.Log(uniform)
	}
	ranked := slices.Collect(maps.Keys(weights))
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(scores[b], scores[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// weight mixes the two hashes with the finalizer of a 64-bit hash, so that
// members whose own hashes are close don't share their fate on every key.
func weight(keySum uint64, member string) uint64 {
	const prime1, prime2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	h := keySum ^ xxhash.Sum64String(member)
	h ^= h >> 33
	h *= prime1
	h ^= h >> 33
	h *= prime2
	return h ^ h>>33
}
