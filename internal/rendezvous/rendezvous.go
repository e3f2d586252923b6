// Package rendezvous assigns keys to members by rendezvous hashing (highest
// random weight). Processes with the same list of members compute the same owner
// without coordination, and when a member joins or leaves only its own share of
// the keys moves. The idempotency and shards packages call it to find owners.
package rendezvous

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member with the highest weight for key; ok is false if
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

// Ranked returns the members by descending weight for key: the owner, then the
// member that would own the key if the owner left, and so on.
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

// Weighted returns the members by descending score for key. The probability
// that a member is first is its share of the sum of all weights.
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

// weight mixes the hashes of key and member with the finalizer of a 64-bit hash,
// so that members with similar hashes get independent weights for each key.
func weight(keySum uint64, member string) uint64 {
	const prime1, prime2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	h := keySum ^ xxhash.Sum64String(member)
	h ^= h >> 33
	h *= prime1
	h ^= h >> 33
	h *= prime2
	return h ^ h>>33
}
