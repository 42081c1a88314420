package latency

import "time"

type ring struct {
	size  int
	next  int
	items []sample
}

func (r *ring) add(s sample) {
	if len(r.items) < r.size {
		r.items = append(r.items, s)

		return
	}
	r.items[r.next] = s
	r.next = (r.next + 1) % r.size
}

func (r *ring) since(from time.Time) []time.Duration {
	var v []time.Duration
	for _, s := range r.items {
		if s.at.After(from) {
			v = append(v, s.value)
		}
	}

	return v
}

func (r *ring) median(from time.Time) (time.Duration, int) {
	v := r.since(from)
	if len(v) == 0 {
		return 0, 0
	}

	return lowerMedian(v), len(v)
}
