package virtualfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/work"
)

const (
	// outageTime is how long holders do not reach the store, briefOutageTime the same if an answer after it is in time.
	outageTime      = 30 * time.Second
	briefOutageTime = 5 * time.Second
	// silenceTime is longer than an isolated instance waits before it counts as the last one.
	silenceTime = 150 * time.Second
	// lastItems is the number of items of each job.
	lastItems = 6
)

// holder returns the instance that a job's record names.
func (f *Fleet) holder(id string) string {
	f.store.lock.Lock()
	defer f.store.lock.Unlock()
	j := work.Job{}
	if json.Unmarshal(f.store.objects["jobs/"+id].value, &j) != nil {
		return ""
	}

	return j.Holder
}

// bubbleOfThree runs a test with a fleet of three instances that know each other.
func bubbleOfThree(t *testing.T, do func(t *testing.T, is *is.I, f *Fleet)) {
	t.Helper()
	bubbleOf(t, 3, 0, do)
}

// Guards against an instance that takes over the jobs of live holders, which reach the store, because it has not heard them for long.
func TestSilentHoldersKeepTheirJobs(t *testing.T) {
	for _, c := range []struct {
		name string
		// heard is set if the others hear the instance that does not hear them.
		heard bool
		// restart is set if the others start again while they are cut off.
		restart bool
	}{
		{"cut off", false, false},
		{"deaf", true, false},
		{"cut off, others start again", false, true},
		{"deaf, others start again", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbleOfThree(t, func(t *testing.T, is *is.I, f *Fleet) {
				for _, n := range []int{1, 2} {
					f.Cut(n, 0)
					if !c.heard {
						f.Cut(0, n)
					}
				}
				if c.restart {
					for _, n := range []int{1, 2} {
						f.Kill(n)
						f.Start(n)
					}
				}
				for end, k := time.Now().Add(silenceTime), 0; time.Now().Before(end); k++ {
					id := fmt.Sprint("job", k)
					ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
					is.NoErr(f.Submit(ctx, 1+k%2, id, lastItems))
					cancel()
					for len(f.Listed(id)) < lastItems {
						is.True(f.holder(id) != "e00")
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		})
	}
}

// Guards against an instance that takes over the jobs of live holders that it does not hear because they did not reach the store for a moment,
// and against holders that could not answer it there for long, do not suspect that it took their jobs over, and answer from memory.
func TestHoldersWithoutStore(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage time.Duration
		// keep is set if the outage is too short for a takeover.
		keep bool
	}{
		{"for a moment", briefOutageTime, true},
		{"for long", outageTime, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbleOfThree(t, func(t *testing.T, is *is.I, f *Fleet) {
				keeps := func() bool {
					return !c.keep || f.holder("job1") == "e01" && f.holder("job2") == "e02"
				}
				broken := playReads(t, f, []int{1, 2}, func() {
					var restore []func()
					cutLinks := f.cut(func(n int) bool { return n == 0 }, true)
					for _, n := range []int{1, 2} {
						restore = append(restore, f.CutStore(n))
					}
					for end := time.Now().Add(c.outage); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						is.True(keeps())
					}
					for _, end := range restore {
						end()
					}
					for end := time.Now().Add(silenceTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						is.True(keeps())
					}
					cutLinks()
				})
				is.Equal(broken, nil)
			})
		})
	}
}

// Guards against jobs of lost instances that nobody takes over, since the only one left waits for the others.
func TestLastInstanceTakesJobsOver(t *testing.T) {
	bubbleOfThree(t, func(t *testing.T, is *is.I, f *Fleet) {
		is.NoErr(f.Submit(t.Context(), 1, "job", lastItems))
		f.Kill(1)
		f.Kill(2)
		time.Sleep(time.Minute)
		is.Equal(len(f.Listed("job")), lastItems)
		is.Equal(f.holder("job"), "e00")
	})
}

// Guards against holders that were frozen until the last instance took their jobs over, and answer from memory when they return: results
// that were read meanwhile would be missing.
func TestFrozenHoldersReturn(t *testing.T) {
	for _, c := range []struct {
		name string
		// restored is set if the holders hear the last instance when they return.
		restored bool
	}{
		{"heard again", true},
		{"still cut off", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbleOfThree(t, func(t *testing.T, is *is.I, f *Fleet) {
				is.NoErr(f.Submit(t.Context(), 1, "job", lastItems))
				var restore []func()
				for _, n := range []int{1, 2} {
					f.Freeze(n, silenceTime)
					restore = append(restore, f.Cut(n, 0), f.Cut(0, n))
				}
				time.Sleep(silenceTime - time.Second)
				is.Equal(f.holder("job"), "e00")
				is.Equal(len(f.Listed("job")), lastItems)
				if c.restored {
					for _, end := range restore {
						end()
					}
				}
				answers := 0
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					page, err := f.Read(ctx, 1, "job", 0, 0)
					cancel()
					if err == nil {
						is.True(len(page.Results) > 0)
						answers++
					}
				}
				is.True(answers > 0)
			})
		})
	}
}
