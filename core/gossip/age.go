package gossip

import "time"

// ReportLife is how long a report on a zone, or the counts of one instance, are used without newer ones, which come several
// times a second.
const ReportLife = 1500 * time.Millisecond

// Age returns the time since a moment in milliseconds, which messages carry since clocks of instances differ.
func Age(since, at time.Time) int {
	return max(0, int(at.Sub(since).Milliseconds()))
}

// Before returns the moment that has an age in milliseconds.
func Before(at time.Time, age int) time.Time {
	return at.Add(-time.Duration(age) * time.Millisecond)
}
