package jobrun

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/response"
	"tarragonwalk/core/work"
)

// failing answers requests with a status and counts them.
type failing struct {
	*fleet
	status int
	// firstOnly is set if only the first item of a job gets an answer.
	firstOnly bool
	runs      runCounts
}

type runCounts struct {
	lock  sync.Mutex
	items map[string]int
}

func (c *runCounts) add(id string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.items == nil {
		c.items = map[string]int{}
	}
	c.items[id]++
}

// most returns the largest number of runs of an item.
func (c *runCounts) most() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	most := 0
	for _, n := range c.items {
		most = max(most, n)
	}

	return most
}

func (f *failing) Send(ctx context.Context, _ backend.Server, q *call.Call, _ int64) (*response.Response, error) {
	if f.firstOnly && !strings.HasSuffix(q.ID, "-0") {
		<-ctx.Done()

		return nil, ctx.Err()
	}
	f.runs.add(q.ID)

	return &response.Response{Status: f.status, Body: io.NopCloser(http.NoBody)}, nil
}

func (f *failing) startNext(n int) (*Runner, func()) {
	return f.startWith(fmt.Sprint("n", n), logs.New(f.objects), f, noQuarantine(), noSharedParts)
}

// Guards against items that cannot be done and are tried afresh by each holder of their job, the more often the more holders are lost.
func TestFailuresOutliveHolders(t *testing.T) {
	const holders = 12
	for _, c := range []struct {
		name   string
		status int
		// most is the largest number of runs that an item may have, least the number before it may be given up.
		most, least int
		// life is how long each holder lives after it has run an item.
		life time.Duration
		// firstOnly is set if the other items of the job do not end.
		firstOnly bool
	}{
		{"cannot be done", http.StatusUnprocessableEntity, 3, 1, 150 * time.Millisecond, false},
		{"cannot be done, others run", http.StatusUnprocessableEntity, 3, 1, 150 * time.Millisecond, true},
		{"fails", http.StatusInternalServerError, 3 * testRoute.MaxAttempts, testRoute.MaxAttempts, failedPause / 2, false},
		{"fails twice, others run", http.StatusInternalServerError, 3 * testRoute.MaxAttempts, testRoute.MaxAttempts, 3 * failedPause / 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &failing{fleet: newFleet(1, 0), status: c.status, firstOnly: c.firstOnly}
				l := logs.New(f.objects)
				const items = 4
				r, stop := f.startNext(0)
				is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("job", items)))
				for n := range holders {
					before := f.runs.most()
					for end := time.Now().Add(4 * checkPause); f.runs.most() == before && time.Now().Before(end); {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(c.life)
					stop()
					r, stop = f.startNext(n + 1)
					r.ObserveOrphan("job")
				}
				time.Sleep(testLimit)
				stop()
				is.True(f.runs.most() <= c.most)
				listed := 0
				for segment, err := l.Segment(t.Context(), "job", 0); len(segment) > 0; segment, err = l.Segment(t.Context(), "job", listed) {
					is.NoErr(err)
					for _, s := range segment {
						is.Equal(s.State, work.StateDead)
						is.True(f.runs.items[s.Item] >= c.least)
					}
					listed += len(segment)
				}
				is.True(listed == items || c.firstOnly && listed == 1)
			})
		})
	}
}

// Guards against writes for each failure of an item while the first holder of its job lives, and against failures that are forgotten when it
// releases the job.
func TestFirstHolderKeepsFailuresInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &failing{fleet: newFleet(1, 0), status: http.StatusInternalServerError}
		l := logs.New(f.objects)
		r, stop := f.startNext(0)
		is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("job", 1)))
		time.Sleep(failedPause / 2)
		writes := f.objects.Writes("jobs")
		is.Equal(f.runs.most(), 1)
		time.Sleep(failedPause)
		is.Equal(f.runs.most(), 2)
		is.Equal(f.objects.Writes("jobs"), writes)
		r.Stop(t.Context(), time.Now())
		stop()
		record, _, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		is.Equal(record.Failures, work.JobFailures{"job-0": 2})
		is.Equal(record.Takeovers, 0)
		next, stopNext := f.startNext(1)
		defer stopNext()
		next.ObserveOrphan("job")
		time.Sleep(testLimit)
		is.Equal(f.runs.most(), testRoute.MaxAttempts)
	})
}

// Guards against a holder that goes on with a job that it has taken over while it is cut off, and can list nothing.
func TestIsolatedHolderStartsNothing(t *testing.T) {
	for _, takeovers := range []int{0, 1} {
		t.Run(fmt.Sprint(takeovers, " takeovers"), func(t *testing.T) {
			is := is.New(t)
			j := &job{Job: work.Job{Takeovers: takeovers}}
			is.True(!j.mustCheck(false, time.Now()))
			is.Equal(j.mustCheck(true, time.Now()), takeovers > 0)
		})
	}
}

// Guards against a holder that starts items of a job whose holders were lost again and again though it does not reach the store, where it could
// not list what it finds out, and against one that starts none after that.
func TestUnconfirmedHolderStartsNothing(t *testing.T) {
	for _, c := range []struct {
		takeovers int
		starts    bool
	}{{1, true}, {checkedTakeovers - 1, true}, {checkedTakeovers, false}, {checkedTakeovers + 5, false}} {
		t.Run(fmt.Sprint(c.takeovers, " takeovers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &failing{fleet: newFleet(1, 0), status: http.StatusUnprocessableEntity}
				setSlots := func(used int) {
					f.lock.Lock()
					defer f.lock.Unlock()
					f.usedSlots = used
				}
				const allSlots = 6
				setSlots(allSlots)
				j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: 1, SubmittedAt: time.Now(), Holder: "gone", Takeovers: c.takeovers - 1}
				_, err := logs.New(f.objects).Accept(t.Context(), &j, newItems("job", 1), map[int]bool{})
				is.NoErr(err)
				r, stop := f.startNext(0)
				defer stop()
				r.ObserveOrphan("job")
				time.Sleep(checkPause)
				is.True(r.holds("job"))
				f.objects.SetUnreadable(true)
				time.Sleep(2 * checkPause)
				setSlots(0)
				time.Sleep(testLimit)
				is.Equal(f.runs.most() > 0, c.starts)
				f.objects.SetUnreadable(false)
				time.Sleep(2 * checkPause)
				is.Equal(f.runs.most(), 1)
			})
		})
	}
}
