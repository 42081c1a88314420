package claim

import (
	"tarragonwalk/core/rendezvous"
)

// IsClaimant reports whether name is one of the n names with the highest rendezvous hash for key. It is false if name is not
// among names.
func IsClaimant(key, name string, names []string, n int) bool {
	own := rendezvous.Weight(key, name)
	higher := 0
	found := false
	for _, o := range names {
		if o == name {
			found = true

			continue
		}
		if w := rendezvous.Weight(key, o); w > own || (w == own && o < name) {
			higher++
		}
	}

	return found && higher < n
}

// Offset returns the chunk at which an instance starts to claim, so that instances rarely try to claim the same chunk.
func Offset(key, name string, chunks int) int {
	return int(rendezvous.Weight(key, name) % uint64(max(1, chunks))) //nolint:gosec // the remainder is below chunks
}
