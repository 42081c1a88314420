package gossip

import "time"

// ReportLife is how long a report on a zone, or the counts of an instance, stay valid. New ones arrive several times a second.
const ReportLife = 1500 * time.Millisecond

// Age returns the time from since to at in milliseconds, at least 0. Messages contain ages instead of times, because the clocks of
// instances differ.
func Age(since, at time.Time) int {
	return max(0, int(at.Sub(since).Milliseconds()))
}

// Before returns the time that is age milliseconds before at.
func Before(at time.Time, age int) time.Time {
	return at.Add(-time.Duration(age) * time.Millisecond)
}
