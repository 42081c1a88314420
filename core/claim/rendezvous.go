package claim

import (
	"hash/fnv"
)

// Among reports whether name is one of the n names with the highest rendezvous hash for key. It is false if name is not
// among names.
func Among(key, name string, names []string, n int) bool {
	own := weight(key, name)
	higher := 0
	found := false
	for _, o := range names {
		if o == name {
			found = true

			continue
		}
		if w := weight(key, o); w > own || (w == own && o < name) {
			higher++
		}
	}

	return found && higher < n
}

// Offset returns the chunk at which an instance starts to claim, so that instances rarely meet at the same chunk.
func Offset(key, name string, chunks int) int {
	return int(weight(key, name) % uint64(max(1, chunks))) //nolint:gosec // the remainder is below chunks
}

func weight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "\x00" + name))
	// FNV alone mixes the last bytes badly into the high bits; this is the finalizer of MurmurHash3.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53

	return x ^ x>>33
}
