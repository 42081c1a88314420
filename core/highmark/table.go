package highmark

import (
	"sync"
	"time"
)

const (
	// life is the least time that a job is remembered after its results were last returned, unless there are too many jobs.
	life = 2 * time.Minute
	// maxJobs is the number of jobs in a generation.
	maxJobs = 4096
)

// Table holds the number of results of each job that were returned. It keeps two generations of jobs, the older of which it drops when
// the newer one is old or full. It is safe for concurrent use.
type Table struct {
	now     func() time.Time
	lock    sync.Mutex
	newer   map[string]int
	older   map[string]int
	retires time.Time
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{
		now:     now,
		newer:   map[string]int{},
		retires: now().Add(life),
	}
}

// Record notes that the results of a job before a position were returned.
func (t *Table) Record(id string, position int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	position = max(position, t.newer[id], t.older[id])
	if at := t.now(); at.After(t.retires) || len(t.newer) >= maxJobs {
		t.newer, t.older = map[string]int{}, t.newer
		t.retires = at.Add(life)
	}
	t.newer[id] = position
}

// Position returns the highest position of a job that was recorded, 0 if none is remembered.
func (t *Table) Position(id string) int {
	t.lock.Lock()
	defer t.lock.Unlock()

	return max(t.newer[id], t.older[id])
}
