package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Weight returns the weight of name for key; the highest weight wins.
func Weight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	// FNV spreads the last bytes poorly into the high bits, so the finalizer of MurmurHash3 follows.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53

	return x ^ x>>33
}

// Highest returns the name with the highest weight for key, or empty if there are no names.
func Highest(key string, names []string) string {
	best := ""
	var weight uint64
	for _, n := range names {
		w := Weight(key, n)
		if best == "" || w > weight || w == weight && n < best {
			best, weight = n, w
		}
	}

	return best
}

// Top returns at most n names with the highest weights for key, highest first.
func Top(key string, names []string, n int) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})

	return sorted[:min(n, len(sorted))]
}
