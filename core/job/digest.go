package job

import (
	"hash/fnv"
)

// Digest returns a hash of a view of the open-job index, which does not depend on the order of the jobs.
func Digest(jobs []OpenJob) int64 {
	sum := uint64(0)
	for _, o := range jobs {
		h := fnv.New64a()
		h.Write([]byte(o.ID))
		if o.Cancelled {
			h.Write([]byte{1})
		}
		// Addition makes the digest independent of the order.
		sum += h.Sum64()
	}
	// Messages carry the digest as a non-negative integer.
	return int64(sum >> 1) //nolint:gosec // the shift clears the sign bit
}
