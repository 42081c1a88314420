package jobrun

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a backlog that makes every item a little late: with capacity for 8 of every 9 arriving items, most of those
// that run have to be in time. Such a backlog arose when the store was down and all jobs were submitted at once afterwards.
func TestBacklogKeepsMostItemsInTime(t *testing.T) {
	is := is.New(t)
	const run, allowed = 5, 18 // seconds
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var waiting []candidate
	inTime, late := 0, 0
	for second := range 300 {
		now := at.Add(time.Duration(second) * time.Second)
		// Nine items arrive in five seconds.
		for range []int{2, 2, 2, 2, 1}[second%5] {
			waiting = append(waiting, candidate{due: now.Add(allowed * time.Second)})
		}
		for i := range waiting {
			waiting[i].late = now.Add(run * time.Second).After(waiting[i].due)
		}
		slices.SortStableFunc(waiting, compareCandidates)
		// Eight slots and runs of five seconds: eight items start in five seconds.
		for range []int{2, 2, 1, 2, 1}[second%5] {
			if len(waiting) == 0 {
				break
			}
			if waiting[0].late {
				late++
			} else {
				inTime++
			}
			waiting = waiting[1:]
		}
	}
	is.True(inTime > 9*(inTime+late)/10)
}

// Guards against an estimate that ignores the progress of an item, or that expects no more time for an item longer than most.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	e := estimate{}
	is.Equal(e.remaining(0), time.Duration(0)) // nothing is known
	e.observe(5*time.Second, 200, 200)
	is.Equal(e.remaining(0), 5*time.Second)
	is.Equal(e.remaining(100), 2500*time.Millisecond)
	is.Equal(e.remaining(400), 500*time.Millisecond)
	e.observe(time.Second, 0, 200) // a run without events says nothing
	is.Equal(e.remaining(0), 5*time.Second)
}
