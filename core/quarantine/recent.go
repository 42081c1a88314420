package quarantine

import "time"

// maxRecent bounds the parts in each of the two generations of recent.
const maxRecent = 4096

// recent remembers when requests with a part were last answered. Of more parts than it has room for, those that were recorded last stay.
type recent struct {
	young, old map[string]time.Time
}

func (r *recent) record(part string, at time.Time) {
	if at.Before(r.at(part)) {
		return
	}
	if len(r.young) >= maxRecent {
		r.young, r.old = nil, r.young
	}
	if r.young == nil {
		r.young = map[string]time.Time{}
	}
	r.young[part] = at
}

// at returns the zero time for a part that is not known.
func (r *recent) at(part string) time.Time {
	if at, ok := r.young[part]; ok {
		return at
	}

	return r.old[part]
}
