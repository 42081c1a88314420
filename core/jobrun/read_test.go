package jobrun

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/jobread"
	"tarragonwalk/core/work"
	"tarragonwalk/internal/fakeobjects"
)

// startHolder runs an instance that holds job "j", none of whose items runs, until stop is called.
func (f *fleet) startHolder(t *testing.T, items int) (holder *Runner, stop func()) {
	t.Helper()
	f.usedSlots = 100 // nothing runs
	holder, stop = f.start("e1")
	is.New(t).NoErr(holder.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", items)))

	return holder, stop
}

// Guards against a holder that answers from memory while a write of its own has taken effect without an acknowledgement: another
// instance that did not reach the holder has shown these results, and its caller would find fewer.
func TestReadDuringUnacknowledgedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		l := logs.New(f.objects)
		holder, stop := f.start("e1")
		defer stop()
		other, stopOther := f.start("e2")
		defer stopOther()
		f.objects.FailNext("job-results", fault.CodeOutcomeUnknown)
		is.NoErr(holder.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 3)))
		for f.objects.Writes("job-results") == 0 {
			time.Sleep(time.Millisecond)
		}
		segment, err := l.Segment(t.Context(), "j", 0)
		is.NoErr(err)
		before, err := other.Read(t.Context(), "j", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(before.Results), len(segment))
		after, err := holder.Read(t.Context(), "j", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(after.Results), len(segment))
	})
}

// Guards against a holder that finds only the first of several segments that its predecessor has listed since the takeover.
func TestReadFindsAllLateSegments(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	l := logs.New(f.objects)
	holder, stop := f.startHolder(t, 4)
	defer stop()
	for position, item := range []string{"j-1", "j-2", "j-3"} {
		is.NoErr(l.Append(t.Context(), "j", position, []work.Result{{Item: item, State: work.StateDead}}, "e2"))
	}
	f.maybeReplaced = true
	page, err := holder.Read(t.Context(), "j", "", 2, time.Now())
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
	is.Equal(page.Results[0].Item, "j-3")
}

// Guards against a holder that finds the results of another writer in place of its own, and answers from memory although that writer has
// listed further ones, or does so soon after.
func TestReadAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		l := logs.New(f.objects)
		holder, stop := f.startHolder(t, 4)
		defer stop()
		_, err := holder.Read(t.Context(), "j", "", 0, time.Now())
		is.NoErr(err)
		list := func(position int, item, writer string) []work.Result {
			results := []work.Result{{Item: item, State: work.StateDead}}
			if writer != "" {
				is.NoErr(l.Append(t.Context(), "j", position, results, writer))
			}

			return results
		}
		list(0, "j-1", "e2")
		list(1, "j-2", "e2")
		holder.lock.Lock()
		j := holder.jobs["j"]
		holder.lock.Unlock()
		holder.write(t.Context(), j, 0, list(0, "j-3", ""))
		for after, item := range []string{"j-1", "j-2", "j-4"} {
			if after == 2 {
				list(after, item, "e2")
				time.Sleep(verifyInterval)
			}
			page, err := holder.Read(t.Context(), "j", "", after, time.Now())
			is.NoErr(err)
			is.True(len(page.Results) > 0)
			is.Equal(page.Results[0].Item, item)
		}
	})
}

// Guards against an instance that has returned results of a job, then holds it beside another holder which it does not know of, and
// returns fewer from memory.
func TestHolderKnowsFewerThanReturned(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	l := logs.New(f.objects)
	_, stop := f.startHolder(t, 4)
	defer stop()
	other, stopOther := f.start("e2")
	defer stopOther()
	record, _, err := l.Job(t.Context(), "j")
	is.NoErr(err)
	for position, item := range []string{"j-1", "j-2"} {
		is.NoErr(l.Append(t.Context(), "j", position, []work.Result{{Item: item, State: work.StateDead}}, "e1"))
	}
	page, err := other.Read(t.Context(), "j", "", 0, time.Now())
	is.NoErr(err)
	is.Equal(page.Next, 1)
	page, err = other.Read(t.Context(), "j", "", 1, time.Now())
	is.NoErr(err)
	is.Equal(page.Next, 2)
	record.Holder, record.Incarnation = "e2", "e2"
	j := newJob(*record, newItems("j", 4))
	j.verifiedAt = time.Now()
	other.lock.Lock()
	other.hold("j", j)
	other.lock.Unlock()
	page, err = other.Read(t.Context(), "j", "", 1, time.Now().Add(testLimit))
	is.NoErr(err)
	is.Equal(page.Next, 2)
	is.True(!other.holds("j")) // the store names another holder
}

// pages is a reader that passes on the answers of holders, one after the other, and counts the reads of the store.
type pages struct {
	*jobread.Reader
	answers    []jobpage.Page
	storeReads int
}

func (p *pages) Read(_ context.Context, _, _ string, after int, _ time.Time) (jobpage.Page, error) {
	page := p.answers[0]
	p.answers = p.answers[1:]
	page.Results = page.Results[min(after, len(page.Results)):]

	return page, nil
}

func (p *pages) ReadStore(ctx context.Context, id string, after int) (jobpage.Page, error) {
	p.storeReads++

	return p.Reader.ReadStore(ctx, id, after)
}

// Guards against an instance that passes on the results of one holder of a job and then those of another one, which knows fewer, and
// against a read of the store for each read that finds nothing yet.
func TestSecondHolderKnowsFewer(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	l := logs.New(f.objects)
	_, stop := f.startHolder(t, 4)
	defer stop()
	reader, stopReader := f.start("e2")
	defer stopReader()
	list := []work.Result{{Item: "j-1", State: work.StateDead}, {Item: "j-2", State: work.StateDead}}
	is.NoErr(l.Append(t.Context(), "j", 0, list, "e1"))
	known := jobpage.Cut(4, list, 0)
	fewer := jobpage.Cut(4, list[:1], 0)
	p := &pages{
		Reader:  jobread.New(l, f, f, slog.New(slog.DiscardHandler), time.Now),
		answers: []jobpage.Page{known, known, fewer, fewer},
	}
	reader.reader = p
	for n, after := range []int{0, 2, 1, 0} {
		page, err := reader.Read(t.Context(), "j", "", after, time.Now())
		is.NoErr(err)
		is.Equal(len(page.Results) > 0, after < 2)
		is.Equal(p.storeReads, n/2) // only for the result that the second holder does not know
	}
}

// slowPages answers from the memory of a holder, and delivers each answer after a time.
type slowPages struct {
	*jobread.Reader

	holder *Runner
	times  []time.Duration
	reads  int
}

func (p *slowPages) Read(ctx context.Context, id, workspace string, after int, until time.Time) (jobpage.Page, error) {
	page, _, err := p.holder.ReadHeldResults(ctx, id, workspace, after, until)
	time.Sleep(p.times[min(p.reads, len(p.times)-1)])
	p.reads++

	return page, err
}

// Guards against a read that finds nothing, since its answer was determined long before it is passed on, where others have been returned a
// result meanwhile.
func TestOutdatedAnswerIsNotPassedOn(t *testing.T) {
	const soon, late = 100 * time.Millisecond, 2 * time.Second
	for _, c := range []struct {
		name    string
		times   []time.Duration
		listed  bool
		reads   int
		results int
		code    fault.Code
	}{
		{"in time", []time.Duration{soon}, false, 1, 0, ""},
		{"late, nothing yet", []time.Duration{late, soon}, false, 2, 0, ""},
		{"late, listed meanwhile", []time.Duration{late, soon}, true, 2, 1, ""},
		{"always late", []time.Duration{late}, false, 3, 0, fault.CodeStoreUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 0)
				holder, stop := f.startHolder(t, 2)
				defer stop()
				reader, stopReader := f.start("e2")
				defer stopReader()
				p := &slowPages{
					holder: holder,
					times:  c.times,
				}
				reader.reader = p
				if c.listed {
					time.AfterFunc(late/2, func() {
						holder.lock.Lock()
						defer holder.lock.Unlock()
						holder.jobs["j"].list(0, []work.Result{{Item: "j-0", State: work.StateDead}})
					})
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				page, err := reader.Read(ctx, "j", "", 0, time.Now())
				is.Equal(fault.CodeOf(err), c.code)
				is.Equal(len(page.Results), c.results)
				is.Equal(p.reads, c.reads)
			})
		})
	}
}

// Guards against a stopping holder that answers from memory after its release of a job has taken effect without an acknowledgement: the
// job's new holder has listed further results.
func TestReadDuringUnacknowledgedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		l := logs.New(f.objects)
		holder, stop := f.startHolder(t, 3)
		defer stop()
		f.objects.FailNext("jobs", fault.CodeOutcomeUnknown)
		writes := f.objects.Writes("jobs")
		go holder.Stop(t.Context(), time.Now().Add(time.Second))
		for f.objects.Writes("jobs") == writes {
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		is.True(holder.holds("j"))
		is.NoErr(l.Append(t.Context(), "j", 0, []work.Result{{Item: "j-1", State: work.StateDead}}, "e2"))
		page, err := holder.Read(t.Context(), "j", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(page.Results), 1)
	})
}

// Guards against a new holder that stops looking for late writes of its predecessor without a last look: a result that another instance
// has shown would be missing at the holder until it lists one itself.
func TestReadAfterLateWriteWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.usedSlots = 100 // nothing runs
		l := logs.New(f.objects)
		f.abandonJobs(t, "job")
		holder, stop := f.start("e2")
		defer stop()
		holder.ObserveOrphan("job")
		time.Sleep(time.Second)
		is.True(holder.holds("job"))
		_, err := holder.Read(t.Context(), "job", "", 0, time.Now())
		is.NoErr(err)
		is.NoErr(l.Append(t.Context(), "job", 0, []work.Result{{Item: "job-1", State: work.StateDead}}, "e1"))
		time.Sleep(lateWriteWindow)
		page, err := holder.Read(t.Context(), "job", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(page.Results), 1)
		reads := f.objects.Reads("job-results")
		time.Sleep(time.Minute)
		_, err = holder.Read(t.Context(), "job", "", 1, time.Now())
		is.NoErr(err)
		_, err = holder.Read(t.Context(), "job", "", 1, time.Now())
		is.NoErr(err)
		is.True(f.objects.Reads("job-results")-reads <= 1) // then the memory is complete
	})
}

// Guards against a holder that gives up a job which it has taken over again while it asked the store about its former claim.
func TestDropKeepsLaterClaim(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	r, stop := f.startHolder(t, 2)
	defer stop()
	r.lock.Lock()
	former := r.jobs["j"]
	r.hold("j", newJob(former.Job, nil))
	r.drop(former)
	r.lock.Unlock()
	is.True(r.holds("j"))
	is.True(former.released)
	is.Equal(announced(r).Held, []string{"j"})
}

// Guards against a new holder that takes its memory for complete after it has read one of two late segments.
func TestReadOfOneLateSegmentIsNotTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		l := logs.New(f.objects)
		f.abandonJobs(t, "job")
		holder, stop := f.start("e2")
		defer stop()
		holder.ObserveOrphan("job")
		time.Sleep(time.Second)
		for position, item := range []string{"job-1", "job-0"} {
			is.NoErr(l.Append(t.Context(), "job", position, []work.Result{{Item: item, State: work.StateDead}}, "e1"))
		}
		time.Sleep(lateWriteWindow)
		for after := range 2 {
			page, err := holder.Read(t.Context(), "job", "", after, time.Now())
			is.NoErr(err)
			is.Equal(len(page.Results), 1)
			time.Sleep(lateWriteWindow)
		}
	})
}

// lateAnswers is a store whose writes of a kind take effect at once and are answered when the channel is closed.
type lateAnswers struct {
	*fakeobjects.Store
	kind     string
	answered chan struct{}
}

func (l lateAnswers) await(kind string) {
	if kind == l.kind {
		<-l.answered
	}
}

func (l lateAnswers) Create(ctx context.Context, kind, name string, value any) (int64, error) {
	defer l.await(kind)

	return l.Store.Create(ctx, kind, name, value)
}

func (l lateAnswers) Replace(ctx context.Context, kind, name string, value any, revision int64) (int64, error) {
	defer l.await(kind)

	return l.Store.Replace(ctx, kind, name, value, revision)
}

// Guards against a holder that answers from memory while the answer to its write of results is on its way.
func TestReadBeforeAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		late := lateAnswers{Store: f.objects, kind: "job-results", answered: make(chan struct{})}
		holder, stop := f.startOn("e1", logs.New(late))
		is.NoErr(holder.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 3)))
		time.Sleep(2 * longListDelay)
		segment, err := logs.New(f.objects).Segment(t.Context(), "j", 0)
		is.NoErr(err)
		is.Equal(len(segment), 3)
		page, err := holder.Read(t.Context(), "j", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(page.Results), 3)
		close(late.answered)
		stop()
	})
}

// Guards against a stopping holder that answers from memory while the answer to its release of a job is on its way.
func TestReadBeforeReleaseIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.usedSlots = 100 // nothing runs
		l := logs.New(f.objects)
		f.abandonJobs(t, "j")
		late := lateAnswers{Store: f.objects, kind: "jobs", answered: make(chan struct{})}
		holder, stop := f.startOn("e1", logs.New(late))
		record, revision, err := l.Job(t.Context(), "j")
		is.NoErr(err)
		record.Holder, record.Incarnation = "e1", "e1"
		_, err = l.Update(t.Context(), *record, revision)
		is.NoErr(err)
		holder.ObserveOrphan("j")
		time.Sleep(2 * lateWriteWindow)
		is.True(holder.holds("j"))
		_, err = holder.Read(t.Context(), "j", "", 0, time.Now())
		is.NoErr(err)
		go holder.Stop(t.Context(), time.Now().Add(time.Second))
		time.Sleep(10 * stepInterval)
		is.NoErr(l.Append(t.Context(), "j", 0, []work.Result{{Item: "j-1", State: work.StateDead}}, "e2"))
		page, err := holder.Read(t.Context(), "j", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(page.Results), 1)
		close(late.answered)
		time.Sleep(2 * time.Second)
		stop()
	})
}

// unreadableResults is a store that does not answer reads of results and does not acknowledge writes of them.
type unreadableResults struct {
	*fakeobjects.Store
	reads *atomic.Int32
}

func (u unreadableResults) Read(ctx context.Context, kind, name string, value any) (int64, error) {
	if kind == "job-results" {
		u.reads.Add(1)

		return 0, fault.New(fault.CodeStoreUnavailable, "down")
	}

	return u.Store.Read(ctx, kind, name, value)
}

func (u unreadableResults) Create(ctx context.Context, kind, name string, value any) (int64, error) {
	if kind == "job-results" && u.Writes(kind) > 0 {
		return 0, fault.New(fault.CodeOutcomeUnknown, "no answer")
	}

	return u.Store.Create(ctx, kind, name, value)
}

// Guards against a holder that denies holding a job, or asks the store at each read, while an outage of the store leaves a write of
// results open: the results in its memory could not be read any more.
func TestReadsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.usedSlots = 100 // nothing runs
		reads := &atomic.Int32{}
		u := unreadableResults{Store: f.objects, reads: reads}
		holder, stop := f.startOn("e1", logs.New(u))
		defer stop()
		is.NoErr(holder.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 3)))
		holder.lock.Lock()
		j := holder.jobs["j"]
		holder.lock.Unlock()
		holder.write(t.Context(), j, 0, []work.Result{{Item: "j-1", State: work.StateDead}})
		holder.write(t.Context(), j, 1, []work.Result{{Item: "j-2", State: work.StateDead}})
		for range 5 {
			_, held, err := holder.ReadHeldResults(t.Context(), "j", "", 1, time.Now())
			is.True(held)
			is.Equal(fault.CodeOf(err), fault.CodeStoreUnavailable)
		}
		is.Equal(reads.Load(), int32(1))
		page, held, err := holder.ReadHeldResults(t.Context(), "j", "", 0, time.Now())
		is.NoErr(err)
		is.True(held)
		is.Equal(len(page.Results), 1)
	})
}

// Guards against a replaced holder that answers from memory a caller which has got further results from the new one, and against reads of the
// store for each read of a caller that makes positions up.
func TestReadBehindWhatTheHolderKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		l := logs.New(f.objects)
		holder, stop := f.startHolder(t, 4)
		defer stop()
		time.Sleep(time.Minute)
		before := f.objects.Reads("jobs") + f.objects.Reads("job-results")
		for range 50 {
			page, err := holder.Read(t.Context(), "j", "", 3, time.Now())
			is.NoErr(err)
			is.Equal(len(page.Results), 0)
		}
		is.True(f.objects.Reads("jobs")+f.objects.Reads("job-results")-before <= 2)
		time.Sleep(time.Minute)
		record, revision, err := l.Job(t.Context(), "j")
		is.NoErr(err)
		record.Holder, record.Incarnation = "e2", "e2"
		_, err = l.Update(t.Context(), *record, revision)
		is.NoErr(err)
		for position, item := range []string{"j-1", "j-2", "j-3"} {
			is.NoErr(l.Append(t.Context(), "j", position, []work.Result{{Item: item, State: work.StateDead}}, "e2"))
		}
		page, err := holder.Read(t.Context(), "j", "", 2, time.Now())
		is.NoErr(err)
		is.Equal(page.Next, 3)
		is.True(!holder.holds("j"))
	})
}

// Guards against a new holder that answers from memory after its predecessor, which was frozen between its look at the store and its write,
// has listed results much later, and against one that reads the store for ever.
func TestReadAfterWriteOfFrozenHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.usedSlots = 100 // nothing runs
		l := logs.New(f.objects)
		f.abandonJobs(t, "job")
		holder, stop := f.start("e2")
		defer stop()
		holder.ObserveOrphan("job")
		time.Sleep(2 * lateWriteWindow)
		page, err := holder.Read(t.Context(), "job", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(page.Results), 0)
		is.NoErr(l.Append(t.Context(), "job", 0, []work.Result{{Item: "job-1", State: work.StateDead}}, "e1"))
		time.Sleep(verifyInterval)
		page, err = holder.Read(t.Context(), "job", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(page.Results), 1)
		// No write of the former holder can take effect behind one of this holder.
		holder.write(t.Context(), holder.jobs["job"], 1, []work.Result{{Item: "job-2", State: work.StateDead}})
		reads := f.objects.Reads("job-results")
		for range 5 {
			time.Sleep(verifyInterval)
			_, err = holder.Read(t.Context(), "job", "", 2, time.Now())
			is.NoErr(err)
		}
		is.Equal(f.objects.Reads("job-results"), reads)
	})
}

// Guards against a holder that looks for late writes of its predecessor, finds results of a successor that it does not know of, and goes on
// listing results behind them: the successor does not look for those, and answers from memory without them.
func TestResultsOfUnknownSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.usedSlots = 100 // nothing runs
		l := logs.New(f.objects)
		f.abandonJobs(t, "job")
		holder, stop := f.start("e2")
		defer stop()
		holder.ObserveOrphan("job")
		time.Sleep(time.Second)
		record, revision, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		is.Equal(record.Holder, "e2")
		record.Holder, record.Incarnation = "e3", "e3"
		_, err = l.Update(t.Context(), *record, revision)
		is.NoErr(err)
		is.NoErr(l.Append(t.Context(), "job", 0, []work.Result{{Item: "job-1", State: work.StateDead}}, "e3"))
		page, err := holder.Read(t.Context(), "job", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(page.Next, 1)
		holder.lock.Lock()
		j := holder.jobs["job"]
		holder.lock.Unlock()
		if j != nil {
			holder.write(t.Context(), j, 1, []work.Result{{Item: "job-2", State: work.StateDead}})
		}
		segment, err := l.Segment(t.Context(), "job", 1)
		is.NoErr(err)
		is.Equal(len(segment), 0)
		is.True(!holder.holds("job"))
	})
}
