package addresses

import "time"

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
	since := make(map[string]time.Time, len(missing))
	for _, name := range missing {
		since[name] = at
		if before, known := a.since[name]; known {
			since[name] = before
		}
	}
	a.since = since
}
