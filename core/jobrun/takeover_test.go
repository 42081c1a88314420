package jobrun

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/work"
	"tarragonwalk/internal/fakeobjects"
)

// Guards against items that are given up since the instance that takes their job over does not know the job's route yet, and against
// items that wait for a route that is gone.
func TestTakeoverWithOlderConfiguration(t *testing.T) {
	for _, c := range []struct {
		name    string
		version int
		want    work.State
	}{
		{"route not known yet", 2, work.StateCompleted},
		{"route removed", 0, work.StateDead},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 0)
				l := logs.New(f.objects)
				items := newItems("job", 1)
				j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: 1, SubmittedAt: time.Now(), Holder: "gone", RouteVersion: c.version}
				_, err := l.Accept(t.Context(), &j, items, map[int]bool{})
				is.NoErr(err)
				f.hideRoute.Store(true)
				r, stop := f.start("new")
				defer stop()
				r.ObserveOrphan("job")
				time.Sleep(5 * time.Second)
				is.True(r.holds("job"))
				f.hideRoute.Store(false)
				time.Sleep(5 * time.Second)
				found, err := l.Segment(t.Context(), "job", 0)
				is.NoErr(err)
				is.Equal(len(found), 1)
				is.Equal(found[0].State, c.want)
			})
		})
	}
}

// Guards against tokens that go on counting for a lost holder after a takeover, if the first attempt has claimed the job and could not read
// it, or if the job has ended meanwhile.
func TestTakeoverIsCounted(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprint("ended ", ended), func(t *testing.T) { testTakeoverIsCounted(t, ended) })
	}
}

func testTakeoverIsCounted(t *testing.T, ended bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.setUsedSlots(100)
		l := logs.New(f.objects)
		items := newItems("job", 2)
		j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: len(items), Tokens: 20, SubmittedAt: time.Now(), Holder: "gone", Incarnation: "gone-1"}
		f.writeRecordOnly(t, j, items)
		r, stop := f.start("e")
		defer stop()
		_, err := r.AnnounceOrphans(t.Context())
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		record, _, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		is.Equal(record.Holder, "e")
		is.True(!r.holds("job"))
		if ended {
			is.NoErr(l.End(t.Context(), "job", time.Now()))
		}
		repeat := j
		is.NoErr(r.Submit(t.Context(), &testRoute, repeat, items)) // writes the items
		time.Sleep(2 * maxIncompletePause)
		is.True(r.holds("job"))
		f.lock.Lock()
		defer f.lock.Unlock()
		is.Equal(f.takenOver, map[string]int{"gone-1": 20})
	})
}

// lateClaim is a store that loses the answer to the first claim of a job and carries the claim out just before the next one.
type lateClaim struct {
	*fakeobjects.Store
	claims *atomic.Int32
	late   func()
}

func (l *lateClaim) Replace(ctx context.Context, kind, name string, value any, revision int64) (int64, error) {
	switch l.claims.Add(1) {
	case 1:
		l.late = func() { _, _ = l.Store.Replace(ctx, kind, name, value, revision) }

		return 0, fault.New(fault.CodeOutcomeUnknown, "the answer was lost")
	case 2:
		l.late()
	}

	return l.Store.Replace(ctx, kind, name, value, revision)
}

// Guards against a job that nobody runs for good, since its record names a live instance that takes its own late claim for that of another
// one: no other instance looks for such a job.
func TestOwnLateClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		f.setUsedSlots(0)
		r, stop := f.startOn("new", logs.New(&lateClaim{Store: f.objects, claims: &atomic.Int32{}}))
		defer stop()
		r.ObserveOrphan("job")
		time.Sleep(10 * time.Second)
		is.True(r.holds("job"))
		is.True(check(t, logs.New(f.objects), "job", 2))
	})
}

// delayedClaim is a store that loses the answer to the first claim of a job and carries the claim out two seconds later. Meanwhile the
// holder is heard from again.
type delayedClaim struct {
	*fakeobjects.Store
	fleet  *fleet
	claims *atomic.Int32
}

func (d delayedClaim) Replace(ctx context.Context, kind, name string, value any, revision int64) (int64, error) {
	if d.claims.Add(1) > 1 {
		return d.Store.Replace(ctx, kind, name, value, revision)
	}
	d.fleet.lock.Lock()
	d.fleet.alive["old"] = true
	d.fleet.lock.Unlock()
	time.AfterFunc(2*time.Second, func() { _, _ = d.Store.Replace(ctx, kind, name, value, revision) })

	return 0, fault.New(fault.CodeOutcomeUnknown, "the answer was lost")
}

// Guards against a job that nobody runs for good once its holder has read the record: that names a live instance which has dropped the
// takeover before its claim took effect.
func TestClaimAfterTakeoverWasDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		f.setUsedSlots(0)
		r, stop := f.startOn("new", logs.New(delayedClaim{Store: f.objects, fleet: f, claims: &atomic.Int32{}}))
		defer stop()
		r.ObserveOrphan("job")
		time.Sleep(time.Second)
		r.lock.Lock()
		is.True(r.orphans["job"].dismissed)
		r.lock.Unlock()
		time.Sleep(2 * time.Second)
		record, _, err := logs.New(f.objects).Job(t.Context(), "job")
		is.NoErr(err)
		is.Equal(record.Holder, "new")
		time.Sleep(lateWriteWindow)
		is.True(r.holds("job"))
		time.Sleep(2 * time.Second)
		is.True(check(t, logs.New(f.objects), "job", 2))
		time.Sleep(time.Minute)
		r.lock.Lock()
		is.Equal(len(r.orphans), 0)
		r.lock.Unlock()
	})
}
