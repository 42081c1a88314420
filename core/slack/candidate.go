package slack

import (
	"time"
)

// Candidate is a job that has chunks to claim.
type Candidate struct {
	Job       string
	Workspace string
	// LatestStart is the deadline less the estimated remaining work; less slack means an earlier time.
	LatestStart time.Time
	// Held counts the chunks that the instance holds for the workspace.
	Held int
}

// LatestStart returns when work on the remaining items must start, at the given time per item and parallel items.
func LatestStart(deadline time.Time, items int, perItem time.Duration, parallel int) time.Time {
	return deadline.Add(-perItem * time.Duration(items) / time.Duration(max(1, parallel)))
}

// Next returns the index of the candidate to serve, -1 if there is none. The workspace with the fewest held chunks is
// served first, so that one workspace cannot keep the others waiting; within it the least slack, then the job id.
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
	if !a.LatestStart.Equal(b.LatestStart) {
		return a.LatestStart.Before(b.LatestStart)
	}

	return a.Job < b.Job
}
