package jobrun

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/jobread"
	"tarragonwalk/core/work"
	"tarragonwalk/internal/fakeobjects"
)

func announced(r *Runner) *gossip.Heartbeat {
	b := &gossip.Heartbeat{}
	r.FillHeartbeat(b)

	return b
}

// Guards against instances that repeat announcements of ended jobs to each other forever, so that heartbeats grow with every job
// that has ever ended. In a large fleet these were most of the bytes between zones and regions.
func TestAnnouncedEndsExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := func() time.Time { return at }
	log := logs.New(f.objects)
	quiet := slog.New(slog.DiscardHandler)
	var runners []*Runner
	for _, name := range []string{"a", "b", "c"} {
		runners = append(runners, New(log, f, f, f, f, f, jobread.New(log, f, f, quiet, now), noQuarantine(), noSharedParts, noBudget(), name, "1", time.Minute, 0, now, quiet))
	}
	runners[0].StopEnded("j")
	is.Equal(announced(runners[0]).Ended, []string{"j"})
	for at.Before(time.Date(2026, 1, 1, 0, 0, 30, 0, time.UTC)) {
		at = at.Add(200 * time.Millisecond)
		for n, from := range runners {
			for k, to := range runners {
				for _, id := range announced(from).Ended {
					if n != k {
						to.ObserveEnd(id)
					}
				}
			}
		}
	}
	for _, r := range runners {
		is.Equal(len(announced(r).Ended), 0)
		is.Equal(len(r.ended), 0)
	}
}

// Guards against a job that continues at its new holder because its end was announced during the takeover, after the store
// was read.
func TestTakeoverSeesAnnouncedEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	f.usedSlots = 100 // nothing runs
	first, stopFirst := f.start("e1")
	is.NoErr(first.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 3)))
	stopFirst()
	second, stopSecond := f.start("e2")
	defer stopSecond()
	second.ObserveEnd("j")
	_, err := second.AnnounceOrphans(t.Context())
	is.NoErr(err)
	for end := time.Now().Add(testLimit); !second.holds("j"); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	second.lock.Lock()
	defer second.lock.Unlock()
	is.True(second.jobs["j"].ended)
}

// Guards against heartbeats that contain hundreds of jobs after the loss of all processes, and that fill the links between regions
// on their own, and against jobs that are never announced because the lists are bounded.
func TestAnnouncementsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	r, stop := f.start("a")
	defer stop()
	const jobs = 300
	for n := range jobs {
		r.released[fmt.Sprintf("job%03d", n)] = time.Now().Add(time.Hour)
	}
	seen := map[string]bool{}
	for range jobs/maxAnnounced + 1 {
		list := announced(r).Released
		is.True(len(list) <= maxAnnounced)
		for _, id := range list {
			seen[id] = true
		}
	}
	is.Equal(len(seen), jobs)
}

// Guards against a holder that was counted as gone by instances whose messages it receives, so that it does not notice: it would
// go on answering reads without the results that its successor lists.
func TestReplacedHolderNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.usedSlots = 100 // nothing runs
		l := logs.New(f.objects)
		old, stop := f.start("old")
		defer stop()
		is.NoErr(old.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("job", 2)))
		record, revision, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		old.ObserveHolder("job", "new", "new")
		time.Sleep(time.Second)
		is.True(old.holds("job")) // the record names this instance
		record.Holder, record.Incarnation = "new", "new"
		_, err = l.Update(t.Context(), *record, revision)
		is.NoErr(err)
		reads := f.objects.Reads("jobs")
		for range 10 {
			old.ObserveHolder("job", "new", "new")
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(f.objects.Reads("jobs"), reads) // what the store has settled is not asked again
		old.ObserveHolder("job", "newer", "newer")
		_, held, _ := old.ReadHeldResults(t.Context(), "job", "", 0, time.Now())
		is.True(!held)
		time.Sleep(time.Second)
		is.True(!old.holds("job"))
	})
}

// Guards against two instances that take a job from each other in turn: the second time, the announcement of the other one must not be
// taken for one from before.
func TestReplacedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		l := logs.New(f.objects)
		r, stop := f.start("new")
		defer stop()
		r.ObserveOrphan("job")
		time.Sleep(time.Second)
		is.True(r.holds("job"))
		r.ObserveHolder("job", "old", "old") // an announcement from before the takeover
		reads := f.objects.Reads("jobs")
		time.Sleep(announcementTTL)
		is.Equal(f.objects.Reads("jobs"), reads)
		record, revision, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		record.Holder, record.Incarnation = "old", "old"
		_, err = l.Update(t.Context(), *record, revision)
		is.NoErr(err)
		r.ObserveHolder("job", "old", "old")
		time.Sleep(time.Second)
		is.True(!r.holds("job"))
	})
}

// Guards against results that a replaced holder lists long after its successor has read the job: callers that read them at one
// instance do not find them at the successor. The holder may have been paused, and has not heard of it.
func TestReplacedHolderListsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		l := logs.New(f.objects)
		f.usedSlots = 100 // nothing runs yet
		old, stop := f.start("old")
		defer stop()
		is.NoErr(old.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("job", 2)))
		record, revision, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		record.Holder, record.Incarnation = "new", "new"
		_, err = l.Update(t.Context(), *record, revision)
		is.NoErr(err)
		f.lock.Lock()
		f.maybeReplaced = true
		f.usedSlots = 0
		f.lock.Unlock()
		time.Sleep(10 * time.Second)
		segment, err := l.Segment(t.Context(), "job", 0)
		is.NoErr(err)
		is.Equal(len(segment), 0)
		is.True(!old.holds("job"))
	})
}

// Guards against a submission that is sent to the store although another instance has announced the job as its own.
func TestAnnouncedJobIsAccepted(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	r, stop := f.start("a")
	defer stop()
	r.ObserveHolder("job", "b", "1")
	is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("job", 2)))
	is.Equal(f.objects.Len(), 0)
}

// lateRecords is a store whose responses to reads of job records take a while.
type lateRecords struct {
	*fakeobjects.Store
}

func (s lateRecords) Read(ctx context.Context, kind, name string, value any) (int64, error) {
	revision, err := s.Store.Read(ctx, kind, name, value)
	if kind == "jobs" {
		time.Sleep(300 * time.Millisecond)
	}

	return revision, err
}

// Guards against a holder that takes the announcement of its successor for an outdated one, since it comes while the response of the store
// that this instance was the holder is on its way.
func TestReplacedDuringCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.usedSlots = 100 // nothing runs
		l := logs.New(f.objects)
		old, stop := f.startOn("old", logs.New(lateRecords{f.objects}))
		defer stop()
		is.NoErr(old.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("job", 2)))
		f.maybeReplaced = true
		old.lock.Lock()
		j := old.jobs["job"]
		j.pending = []work.Result{{Item: "job-1", State: work.StateDead}}
		old.lock.Unlock()
		reads := f.objects.Reads("jobs")
		for f.objects.Reads("jobs") == reads {
			time.Sleep(time.Millisecond)
		}
		f.lock.Lock()
		f.maybeReplaced = false
		f.lock.Unlock()
		record, revision, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		record.Holder, record.Incarnation = "new", "new"
		_, err = l.Update(t.Context(), *record, revision)
		is.NoErr(err)
		for range 20 {
			old.ObserveHolder("job", "new", "new")
			time.Sleep(100 * time.Millisecond)
		}
		is.True(!old.holds("job"))
	})
}
