package jobrun

import (
	"context"
	"fmt"
	"strings"
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

// abandonJobs has an instance accept jobs of two items each and then kills it before any item runs.
func (f *fleet) abandonJobs(t *testing.T, ids ...string) {
	t.Helper()
	f.usedSlots = 100 // nothing runs
	old, stop := f.start("old")
	for _, id := range ids {
		is.New(t).NoErr(old.Submit(t.Context(), &testRoute, work.Job{ID: id, Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems(id, 2)))
	}
	stop()
}

// exchangeAnnouncements delivers the announcements of each runner to all others, as heartbeats do.
func exchangeAnnouncements(runners []*Runner) {
	for n, from := range runners {
		b := announced(from)
		for k, to := range runners {
			if n == k {
				continue
			}
			for _, id := range b.Held {
				to.ObserveHolder(id, from.name, from.incarnation)
			}
			for _, id := range b.Claimed {
				to.ObserveClaim(id, from.name, from.incarnation)
			}
			for _, id := range b.Released {
				to.ObserveOrphan(id)
			}
		}
	}
}

// Guards against every instance reading the list of all jobs after all processes were lost: at large sites the responses
// saturated the link to the region without the store for the rest of the day. One instance lists the jobs; the one that takes
// a job over reads its record.
func TestOneListServesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const instances, jobs = 12, 20
		f := newFleet(1, 0)
		for n := range jobs {
			f.abandonJobs(t, fmt.Sprint("job", n))
		}
		var runners []*Runner
		for n := range instances {
			r, stop := f.start(fmt.Sprint("e", n))
			defer stop()
			runners = append(runners, r)
		}
		remain, err := runners[3].AnnounceOrphans(t.Context())
		is.NoErr(err)
		is.True(remain)
		holders := 0
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			exchangeAnnouncements(runners)
		}
		for n := range jobs {
			held := 0
			for _, r := range runners {
				if r.holds(fmt.Sprint("job", n)) {
					held++
				}
			}
			is.Equal(held, 1)
		}
		for _, r := range runners {
			n, _, _ := r.Backlog()
			holders += min(n, 1)
			is.Equal(len(announced(r).Released), 0) // no instance still announces an orphan
			is.Equal(len(r.orphans), 0)
		}
		is.True(holders > instances/2)            // the work is spread
		is.Equal(f.objects.Reads("jobs"), 1+jobs) // the list, and each record once
	})
}

// Guards against a job that stays without a holder because the instance ranked first for it is lost or does not reach the
// store, or because the new holder is lost soon after the takeover.
func TestNextInLineTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		var runners []*Runner
		stops := map[string]func(){}
		for n := range 4 {
			r, stop := f.start(fmt.Sprint("e", n))
			runners = append(runners, r)
			stops[r.name] = stop
		}
		for len(runners) > 0 {
			lost := -1
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				_, err := runners[0].AnnounceOrphans(t.Context())
				is.NoErr(err)
				exchangeAnnouncements(runners)
				for n, r := range runners {
					if r.holds("job") {
						lost = n
					}
				}
				if lost >= 0 {
					break
				}
			}
			is.True(lost >= 0) // an instance holds it within 10 s
			stops[runners[lost].name]()
			runners = append(runners[:lost:lost], runners[lost+1:]...)
		}
	})
}

// Guards against an instance that is cut off and takes over a job that was announced to it before, while another instance
// takes it over too.
func TestIsolatedInstanceTakesNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		r, stop := f.start("new")
		defer stop()
		f.isolated.Store(true)
		r.ObserveOrphan("job")
		time.Sleep(3 * time.Second)
		is.True(!r.holds("job"))
		f.isolated.Store(false)
		time.Sleep(time.Second)
		is.True(r.holds("job"))
	})
}

// Guards against a released job that stays without a holder since the only instance left hears from no other one.
func TestIsolatedInstanceTakesReleasedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.usedSlots = 100 // nothing runs
		old, stopOld := f.start("old")
		is.NoErr(old.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("job", 2)))
		old.Stop(t.Context(), time.Now())
		released := announced(old).Released
		is.Equal(released, []string{"job"})
		stopOld()
		r, stop := f.start("new")
		defer stop()
		f.isolated.Store(true)
		r.ObserveOrphan(released[0])
		time.Sleep(time.Second)
		is.True(r.holds("job"))
	})
}

// Guards against an instance that resumes after a pause and takes over the job of a live holder, before it has noticed the pause or read
// the heartbeats that arrived meanwhile.
func TestPausedInstanceTakesNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		r, stop := f.start("new")
		defer stop()
		f.paused.Store(true)
		record, _, err := logs.New(f.objects).Job(t.Context(), "job")
		is.NoErr(err)
		is.True(!r.orphan(record))
		r.ObserveOrphan("job")
		time.Sleep(3 * time.Second)
		is.True(!r.holds("job"))
		f.paused.Store(false)
		time.Sleep(time.Second)
		is.True(r.holds("job"))
	})
}

// Guards against reads of taken-over jobs that cost two store calls each: these were most of the store's calls in the seconds
// after all processes were lost. Also guards against a late write of the previous holder that readers do not see within a
// second.
func TestReadsAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		l := logs.New(f.objects)
		f.abandonJobs(t, "job")
		r, stop := f.start("new")
		defer stop()
		_, err := r.AnnounceOrphans(t.Context())
		is.NoErr(err)
		time.Sleep(time.Second)
		is.True(r.holds("job"))
		read := func() int {
			page, held, _ := r.ReadHeldResults(t.Context(), "job", "", 0, time.Now())
			is.True(held)

			return len(page.Results)
		}
		records, segments := f.objects.Reads("jobs"), f.objects.Reads("job-results")
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(read(), 0)
		}
		is.Equal(f.objects.Reads("jobs"), records)
		is.True(f.objects.Reads("job-results")-segments <= 1+int(3*time.Second/verifyInterval))
		is.NoErr(l.Append(t.Context(), "job", 0, []work.Result{{Item: "job-0", State: work.StateCompleted, Text: "x"}}, "old"))
		time.Sleep(time.Second)
		is.Equal(read(), 1)
	})
}

// slowObjects is a store whose responses to reads take a while, as over a link that is full.
type slowObjects struct {
	*fakeobjects.Store
}

func (s slowObjects) Read(ctx context.Context, kind, name string, value any) (int64, error) {
	select {
	case <-time.After(1500 * time.Millisecond):
	case <-ctx.Done():
		return 0, fault.Wrap(ctx.Err(), fault.CodeStoreUnavailable, "no response")
	}

	return s.Store.Read(ctx, kind, name, value)
}

// Guards against takeovers that never end while the store responds slowly: each read the job again from the start after a timeout,
// and the repeated reads kept the link to the store full.
func TestTakeoverFromSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		l := logs.New(f.objects)
		is.NoErr(l.Append(t.Context(), "job", 0, []work.Result{{Item: "job-0", State: work.StateCompleted, Text: "x"}}, "old"))
		r, stop := f.startOn("new", logs.New(slowObjects{f.objects}))
		defer stop()
		r.ObserveOrphan("job")
		time.Sleep(15 * time.Second)
		is.True(r.holds("job"))
		is.True(f.objects.Reads("job-parts") <= 3)
	})
}

// writeRecordOnly leaves the record of a job in the store without its items, as an instance does that is lost while it accepts the job.
func (f *fleet) writeRecordOnly(t *testing.T, j work.Job, items []work.Item) {
	t.Helper()
	f.objects.Choose(func(kind string) fault.Code {
		if kind == "job-parts" {
			return fault.CodeStoreUnavailable
		}

		return ""
	})
	_, err := logs.New(f.objects).Accept(t.Context(), &j, items, map[int]bool{})
	is.New(t).Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)
	f.objects.Choose(nil)
}

// Guards against a repeated submission that is acknowledged because another instance has claimed the job's record, although the
// instance that got the job first was lost before it had written the items.
func TestRepeatCompletesClaimedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		items := newItems("job", 2)
		j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: len(items), SubmittedAt: time.Now(), Holder: "gone"}
		f.writeRecordOnly(t, j, items)
		claimer, stopClaimer := f.start("claimer")
		defer stopClaimer()
		other, stopOther := f.start("other")
		defer stopOther()
		claimer.ObserveOrphan("job")
		time.Sleep(3 * time.Second)
		exchangeAnnouncements([]*Runner{claimer, other})
		l := logs.New(f.objects)
		record, _, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		is.Equal(record.Holder, "claimer")
		is.NoErr(other.Submit(t.Context(), &testRoute, j, items))
		_, found, err := other.Body(t.Context(), "job", "", items[0].ID)
		is.NoErr(err)
		is.True(found) // a job that was acknowledged is readable
		time.Sleep(8 * time.Second)
		is.True(check(t, l, "job", len(items)))
	})
}

// Guards against a job that no instance takes over: its record, written late by a lost instance, was not there when jobs without a
// holder were looked for, and a repeated submission has completed it since.
func TestRepeatFindsHolderForJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		items := newItems("job", 2)
		j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: len(items), SubmittedAt: time.Now(), Holder: "gone"}
		f.writeRecordOnly(t, j, items)
		r, stop := f.start("e")
		defer stop()
		is.NoErr(r.Submit(t.Context(), &testRoute, j, items))
		time.Sleep(8 * time.Second)
		is.True(check(t, logs.New(f.objects), "job", len(items)))
	})
}

// Guards against a job whose record exists without its items, as after a submission that was cut off: the attempts to take it over
// came four times a second for the rest of the day.
func TestIncompleteJobIsRetriedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		l := logs.New(f.objects)
		items := newItems("job", 2)
		j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: len(items), SubmittedAt: time.Now(), Holder: "gone"}
		f.writeRecordOnly(t, j, items)
		r, stop := f.start("new")
		defer stop()
		r.ObserveOrphan("job")
		time.Sleep(30 * time.Second)
		is.True(!r.holds("job"))
		is.True(f.objects.Reads("job-parts") <= 9)
		_, err := l.Accept(t.Context(), &j, items, map[int]bool{})
		is.Equal(fault.CodeOf(err), fault.CodeConflict) // the caller repeats the submission, which completes the job
		time.Sleep(5 * time.Second)
		is.True(r.holds("job"))
	})
}

// Guards against writes of results that are so large that they do not arrive before their timeout over a full link.
func TestResultsAreListedInSmallWrites(t *testing.T) {
	is := is.New(t)
	var pending []work.Result
	for n := range 20 {
		pending = append(pending, work.Result{Item: fmt.Sprint(n), Text: strings.Repeat("x", 10<<10)})
	}
	pending = append(pending, work.Result{Item: "long", Text: strings.Repeat("x", 200<<10)})
	var listed []work.Result
	for len(pending) > 0 {
		segment := firstSegment(pending)
		size := 0
		for _, p := range segment {
			size += len(p.Text)
		}
		is.True(len(segment) == 1 || size <= segmentBytes)
		listed, pending = append(listed, segment...), pending[len(segment):]
	}
	is.Equal(len(listed), 21)
}

// unreadableParts is a store whose items cannot be read while broken is set.
type unreadableParts struct {
	*fakeobjects.Store
	broken *atomic.Bool
}

func (u unreadableParts) Read(ctx context.Context, kind, name string, value any) (int64, error) {
	if kind == "job-parts" && u.broken.Load() {
		return 0, fault.New(fault.CodeStoreUnavailable, "no response")
	}

	return u.Store.Read(ctx, kind, name, value)
}

// Guards against a job that stands still because its record names an instance that could not read its items at first: a late
// announcement of the former holder must not end the attempts, since no other instance makes any.
func TestClaimedJobIsReadLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		broken := &atomic.Bool{}
		broken.Store(true)
		r, stop := f.startOn("new", logs.New(unreadableParts{f.objects, broken}))
		defer stop()
		r.ObserveOrphan("job")
		time.Sleep(time.Second)
		record, _, err := logs.New(f.objects).Job(t.Context(), "job")
		is.NoErr(err)
		is.Equal(record.Holder, "new")
		r.ObserveHolder("job", "old", "old")
		time.Sleep(30 * time.Second)
		is.True(!r.holds("job"))
		broken.Store(false)
		time.Sleep(time.Second)
		is.True(r.holds("job"))
	})
}

// Guards against an instance that takes a job over although another one has claimed it while the items were read: it would answer
// reads from then on without the results that the other one lists.
func TestClaimLostDuringTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		l := logs.New(f.objects)
		r, stop := f.startOn("slow", logs.New(slowObjects{f.objects}))
		defer stop()
		r.ObserveOrphan("job")
		time.Sleep(2500 * time.Millisecond)
		record, revision, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		is.Equal(record.Holder, "slow") // claimed, and still reading
		is.True(!r.holds("job"))
		record.Holder, record.Incarnation = "fast", "fast"
		_, err = l.Update(t.Context(), *record, revision)
		is.NoErr(err)
		f.lock.Lock()
		f.alive["fast"] = true
		f.lock.Unlock()
		time.Sleep(20 * time.Second)
		is.True(!r.holds("job"))
	})
}

// Guards against a job that stands still because the instance that has claimed it forgets it while other takeovers use all places.
func TestClaimedJobIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.abandonJobs(t, "job")
		broken := &atomic.Bool{}
		broken.Store(true)
		r, stop := f.startOn("new", logs.New(unreadableParts{f.objects, broken}))
		defer stop()
		r.ObserveOrphan("job")
		time.Sleep(time.Second)
		r.lock.Lock()
		is.True(r.orphans["job"].claimed)
		for n := range maxTakeovers {
			r.orphans[fmt.Sprint("busy", n)] = &orphan{running: true}
		}
		r.lock.Unlock()
		time.Sleep(2 * orphanTTL)
		broken.Store(false)
		r.lock.Lock()
		for n := range maxTakeovers {
			delete(r.orphans, fmt.Sprint("busy", n))
		}
		r.lock.Unlock()
		time.Sleep(2 * time.Second)
		is.True(r.holds("job"))
	})
}
