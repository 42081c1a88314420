package virtualfleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// takeoverTime is how long after a loss each job needs a live holder, so that its items are at backend servers before callers expect them
// to be finished.
const takeoverTime = 17 * time.Second

// rejoinPause is the time between two reads of the addresses by the watcher of a zone.
const rejoinPause = 30 * time.Second

// index returns the index of an instance, -1 if there is none of that name.
func (f *Fleet) index(name string) int {
	return slices.IndexFunc(f.instances, func(i *instance) bool { return i.name == name })
}

// hasProcess reports whether a process of an instance runs.
func (f *Fleet) hasProcess(name string) bool {
	n := f.index(name)

	return n >= 0 && f.Running(n)
}

// cut cuts all links from a group to the others, or those between them in both directions; it returns what restores them.
func (f *Fleet) cut(inGroup func(n int) bool, both bool) (restore func()) {
	var ends []func()
	for from := range f.instances {
		for to := range f.instances {
			if inGroup(from) && !inGroup(to) || both && inGroup(to) && !inGroup(from) {
				ends = append(ends, f.Cut(from, to))
			}
		}
	}

	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// bubbleOf runs a test with a fleet of some instances in three zones that know each other, but for the first ones, which are not started yet.
func bubbleOf(t *testing.T, size, first int, do func(t *testing.T, is *is.I, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := New(size, 3, rand.New(rand.NewPCG(1, 2)), slog.New(slog.DiscardHandler))
		defer f.Close()
		for n := first; n < size; n++ {
			f.Start(n)
		}
		time.Sleep(10 * time.Second)
		do(t, is.New(t), f)
	})
}

// Guards against jobs that wait for about a minute after most instances were lost and do not come back, since the others take them for
// cut off, whether their machines refuse connections or are silent.
func TestJobsOfLostInstancesAreTakenOver(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		// lost is how many of the last instances are killed and do not come back, back how many of the first are killed and come back.
		lost, back int
		// silent is set if the machines of the lost ones do not refuse connections.
		silent bool
	}{
		{"one of three is left", 3, 2, 0, false},
		{"one of seven is left", 7, 6, 0, false},
		{"one of seven comes back", 7, 6, 1, false},
		{"three of seven come back", 7, 4, 3, false},
		{"two of nine come back and one is left", 9, 6, 2, false},
		{"four of eighteen come back", 18, 14, 4, false},
		{"one of three is left, silent", 3, 2, 0, true},
		{"one of seven is left, silent", 7, 6, 0, true},
		{"three of seven are left, silent", 7, 4, 0, true},
		{"one of seven comes back, silent", 7, 6, 1, true},
		{"two of seven come back, silent", 7, 5, 2, true},
		{"three of seven come back, silent", 7, 4, 3, true},
		{"four of seven come back, silent", 7, 3, 4, true},
		{"two of nine come back and one is left, silent", 9, 6, 2, true},
		{"four of eighteen come back, silent", 18, 14, 4, true},
		{"one of sixty is left, silent", 60, 59, 0, true},
		{"twenty-six of sixty come back, silent", 60, 34, 26, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbleOf(t, c.size, 0, func(t *testing.T, is *is.I, f *Fleet) {
				for n := range c.size {
					is.NoErr(f.Submit(t.Context(), n, fmt.Sprint("job", n), lastItems))
				}
				for n := range c.size {
					if n < c.back || n >= c.size-c.lost {
						f.Kill(n)
					}
				}
				if c.silent {
					f.cut(func(n int) bool { return n >= c.size-c.lost }, true)
				}
				time.Sleep(700 * time.Millisecond)
				for n := range c.back {
					f.Start(n)
				}
				time.Sleep(takeoverTime)
				for n := range c.size {
					id := fmt.Sprint("job", n)
					is.True(len(f.Listed(id)) == lastItems || f.hasProcess(f.holder(id)))
				}
				time.Sleep(time.Minute)
				for n := range c.size {
					is.Equal(len(f.Listed(fmt.Sprint("job", n))), lastItems)
				}
			})
		})
	}
}

// Guards against an instance that takes over the jobs of live holders, which reach the store, because a partition has lasted for longer than
// the time after which silent instances count as lost.
func TestPartitionKeepsHolders(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		// group is how many instances are behind the partition.
		group int
		// restart is set if these start again there, late if they do so long after they were killed, added if they were never there before.
		restart, late, added bool
		// againAfter is when they start once more, zero for never.
		againAfter time.Duration
	}{
		{"one", 3, 1, false, false, false, 0},
		{"one that starts again", 3, 1, true, false, false, 0},
		{"one that comes back late", 5, 1, true, true, false, 0},
		{"one that comes back late and starts again", 5, 1, true, true, false, 40 * time.Second},
		{"one that is added", 5, 1, true, false, true, 0},
		{"three of seven that start again", 7, 3, true, false, false, 0},
		{"three of seven that come back late", 7, 3, true, true, false, 0},
		{"three of seven that come back late and start again", 7, 3, true, true, false, 40 * time.Second},
		{"three of seven that are added", 7, 3, true, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := 0
			if c.added {
				first = c.group
			}
			bubbleOf(t, c.size, first, func(t *testing.T, is *is.I, f *Fleet) {
				behind := map[string]bool{}
				for a := range c.group {
					behind[f.instances[a].name] = true
					if c.late {
						f.Kill(a)
					}
				}
				if c.late {
					time.Sleep(time.Minute)
				}
				f.cut(func(n int) bool { return n < c.group }, true)
				for a := range c.group {
					if c.restart {
						f.Kill(a)
						f.Start(a)
					}
				}
				again := c.againAfter > 0
				for began, k := time.Now(), 0; time.Since(began) < silenceTime; k++ {
					if again && time.Since(began) > c.againAfter {
						again = false
						for a := range c.group {
							f.Kill(a)
							f.Start(a)
						}
					}
					id := fmt.Sprint("job", k)
					ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
					is.NoErr(f.Submit(ctx, c.group+k%(c.size-c.group), id, lastItems))
					cancel()
					for len(f.Listed(id)) < lastItems {
						is.True(!behind[f.holder(id)])
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		})
	}
}

// Guards against watchers that look in the store for an instance for good after it was lost, and against doubts about one whose process only
// starts again.
func TestCallsForMissingInstances(t *testing.T) {
	bubbleOf(t, 5, 0, func(t *testing.T, is *is.I, f *Fleet) {
		calls := func(purpose string, during time.Duration) int {
			before := f.StoreCalls()[purpose]
			time.Sleep(during)

			return f.StoreCalls()[purpose] - before
		}
		f.Kill(4)
		is.Equal(calls("doubt written", 6*time.Second), 0)
		f.Start(4)
		is.Equal(calls("doubt written", 20*time.Second), 0)
		f.Kill(3)
		lists, doubts := 3*int(time.Minute/rejoinPause), 3
		is.True(calls("doubt written", 40*time.Second) <= doubts)
		is.True(calls("addresses listed", time.Minute) <= lists)
	})
}
