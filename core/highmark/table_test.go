package highmark

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a position that falls, is lost while callers still read the job, or is kept forever.
func TestPositionsAge(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := New(func() time.Time { return at })
	table.Record("a", 5)
	table.Record("a", 3)
	is.Equal(table.Position("a"), 5)
	at = at.Add(life + 1)
	table.Record("a", 2) // the generations change
	table.Record("b", 1)
	at = at.Add(life + 1)
	table.Record("c", 1)
	is.Equal(table.Position("a"), 5)
	at = at.Add(life + 1)
	table.Record("c", 1)
	is.Equal(table.Position("a"), 0)
	is.Equal(table.Position("c"), 1)
}

// Guards against memory that grows with the number of jobs.
func TestJobsAreBounded(t *testing.T) {
	is := is.New(t)
	table := New(time.Now)
	for n := range 3 * maxJobs {
		table.Record(fmt.Sprint(n), 1)
	}
	is.True(len(table.newer)+len(table.older) <= 2*maxJobs)
	is.Equal(table.Position(fmt.Sprint(3*maxJobs-1)), 1)
}
