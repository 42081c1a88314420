package slack

import (
	"time"
)

// Candidate is a job that has chunks to claim.
type Candidate struct {
	Job       string
	Workspace string
	// LatestStart is the deadline minus the estimated remaining work; the earlier it is, the less slack the job has.
	LatestStart time.Time
	// Held counts the chunks that the instance holds for the workspace.
	Held int
	// LastTurn is the number of the workspace's last claim, counted over all claims of the instance; 0 if it has none.
	LastTurn int
}

// LatestStart returns when work on the remaining items must start, given the time per item and the number of parallel items.
func LatestStart(deadline time.Time, items int, perItem time.Duration, parallel int) time.Time {
	return deadline.Add(-perItem * time.Duration(items) / time.Duration(max(1, parallel)))
}

// Next returns the index of the candidate to serve next, -1 if there is none. The workspace with the fewest held chunks comes
// first, among several the one that has waited longest since its last claim, so that no workspace starves the others; within it
// the job with the least slack, then the one with the lowest ID.
func Next(cs []Candidate) int {
	best := -1
	for i, c := range cs {
		if best < 0 || before(c, cs[best]) {
			best = i
		}
	}

	return best
}

func before(a, b Candidate) bool {
	if a.Held != b.Held {
		return a.Held < b.Held
	}
	if a.LastTurn != b.LastTurn {
		return a.LastTurn < b.LastTurn
	}
	if !a.LatestStart.Equal(b.LatestStart) {
		return a.LatestStart.Before(b.LatestStart)
	}

	return a.Job < b.Job
}
