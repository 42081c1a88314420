package addresses

import (
	"slices"
	"time"
)

// absences knows since when instances have been missing without a pause.
type absences struct {
	since map[string]time.Time
}

func newAbsences() *absences {
	return &absences{
		since: map[string]time.Time{},
	}
}

// observe records which instances are missing at a time.
func (a *absences) observe(missing []string, at time.Time) {
	for name := range a.since {
		if !slices.Contains(missing, name) {
			delete(a.since, name)
		}
	}
	for _, name := range missing {
		if _, known := a.since[name]; !known {
			a.since[name] = at
		}
	}
}
