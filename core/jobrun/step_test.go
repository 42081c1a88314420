package jobrun

import (
	"expvar"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
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

// Guards against an account of slots that misses runs that were cut, or counts items that were late as in time.
func TestAccountByOutcome(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	counted := func(key string) (millis, before, received int64) {
		value := func(m *expvar.Map) int64 {
			if v, ok := m.Get(key).(*expvar.Int); ok {
				return v.Value()
			}

			return 0
		}

		return value(slotMillis), value(startMillis), value(events)
	}
	for _, c := range []struct {
		code    fault.Code
		due     time.Duration
		firstAt time.Duration
		outcome string
		before  int64
	}{
		{"", 5 * time.Second, time.Second, "completed", 1000},
		{"", time.Second, time.Second, "completed_late", 1000},
		{fault.CodePreempted, time.Second, 0, string(fault.CodePreempted), 3000},
	} {
		millis, before, received := counted(c.outcome)
		it := &item{startedAt: start, last: 40}
		if c.firstAt > 0 {
			it.firstAt = start.Add(c.firstAt)
		}
		at := start.Add(3 * time.Second)
		account(it, 30, outcome(c.code, start.Add(c.due), at), at)
		millisAfter, beforeAfter, receivedAfter := counted(c.outcome)
		is.Equal(millisAfter-millis, int64(3000))
		is.Equal(beforeAfter-before, c.before)
		is.Equal(receivedAfter-received, int64(10))
	}
}
