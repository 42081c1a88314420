package jobrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

// Guards against a job that is acknowledged without its items by an instance that does not take it, since its record alone is in the
// store, and against a promise that it will not run while the instance that writes it may go on.
func TestRepeatThatIsNotTaken(t *testing.T) {
	items := newItems("job", 2)
	j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: len(items), Holder: "gone"}
	whole := func(t *testing.T, f *fleet) {
		t.Helper()
		record := j
		_, err := logs.New(f.objects).Accept(t.Context(), &record, items, map[int]bool{})
		is.New(t).NoErr(err)
	}
	partial := func(t *testing.T, f *fleet) {
		t.Helper()
		f.writeRecordOnly(t, j, items)
	}
	nothing := func(*testing.T, *fleet) {}
	for _, c := range []struct {
		name     string
		stored   func(t *testing.T, f *fleet)
		tokens   int
		stopping bool
		want     fault.Code
	}{
		{"over the limit, in the store", whole, 2000, false, ""},
		{"over the limit, half written", partial, 2000, false, fault.CodeOutcomeUnknown},
		{"over the limit, unknown", nothing, 2000, false, fault.CodeOverloaded},
		{"stopping, in the store", whole, 20, true, ""},
		{"stopping, half written", partial, 20, true, fault.CodeOutcomeUnknown},
		{"stopping, unknown", nothing, 20, true, fault.CodeNotRun},
		{"taken, half written", partial, 20, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 0)
			f.setUsedSlots(100)
			r, stop := f.start("e")
			defer stop()
			c.stored(t, f)
			r.lock.Lock()
			r.stopping = c.stopping
			r.lock.Unlock()
			repeat := j
			repeat.Tokens, repeat.SubmittedAt = c.tokens, time.Now()
			err := r.Submit(t.Context(), &testRoute, repeat, items)
			is.Equal(fault.CodeOf(err), c.want)
			if err == nil {
				_, found, err := r.Body(t.Context(), "job", "", items[0].ID)
				is.NoErr(err)
				is.True(found)
			}
		})
	}
}

// Guards against a job that is turned away for many seconds since it does not fit beside itself: the process that wrote only a part of it is
// lost, and its tokens still count. Also guards against such a job that exceeds the limit beside others, and against tokens that no
// instance counts between its completion and its takeover.
func TestRepeatOfHalfWrittenJobOfLostProcess(t *testing.T) {
	for _, c := range []struct {
		name       string
		others     int
		writerLost bool
		want       fault.Code
	}{
		{"fits", 300, true, ""},
		{"does not fit beside others", 500, true, fault.CodeOutcomeUnknown},
		{"its writer lives", 300, false, fault.CodeOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 0)
				f.waiting = map[string]int{"gone-1": 600, "other": c.others}
				f.alive["gone"] = !c.writerLost
				items := newItems("job", 60)
				j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: len(items), Tokens: 600, SubmittedAt: time.Now(), Holder: "gone", Incarnation: "gone-1"}
				f.writeRecordOnly(t, j, items)
				var runners []*Runner
				for _, name := range []string{"e1", "e2", "e3"} {
					r, stop := f.start(name)
					defer stop()
					runners = append(runners, r)
				}
				wait := func(d time.Duration) {
					for range d / IdleInterval {
						time.Sleep(IdleInterval)
						exchangeAnnouncements(runners)
					}
				}
				is.Equal(fault.CodeOf(runners[0].Submit(t.Context(), &testRoute, j, items)), fault.CodeOutcomeUnknown)
				wait(time.Second)
				outcomes := make(chan error, 2)
				for range 2 {
					go func() { outcomes <- runners[0].Submit(t.Context(), &testRoute, j, items) }()
				}
				for range 2 {
					is.Equal(fault.CodeOf(<-outcomes), c.want)
				}
				if c.want == "" {
					waiting := 0
					for _, r := range runners {
						b := &gossip.Heartbeat{}
						r.FillHeartbeat(b)
						waiting += b.Waiting["jobs"]
					}
					is.Equal(waiting, j.Tokens)
				}
				wait(10 * time.Second)
				is.Equal(check(t, logs.New(f.objects), "job", len(items)), c.want == "")
				f.lock.Lock()
				is.True(f.takenOver["gone-1"] <= j.Tokens) // subtracted once
				f.lock.Unlock()
				for _, r := range runners {
					b := &gossip.Heartbeat{}
					r.FillHeartbeat(b)
					is.Equal(b.Waiting["jobs"], 0) // nothing stays reserved
				}
			})
		})
	}
}

// Guards against a promise that a job will not run, made for a reason of this instance alone, while the job was accepted or is being written.
func TestRefusalOfKnownJob(t *testing.T) {
	reason := fault.New(fault.CodeNotRun, "no memory")
	j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: 2, Holder: "gone"}
	for _, c := range []struct {
		name  string
		known func(t *testing.T, f *fleet, r *Runner)
		want  fault.Code
	}{
		{"held", func(t *testing.T, _ *fleet, r *Runner) {
			is.New(t).NoErr(r.Submit(t.Context(), &testRoute, j, newItems("job", 2)))
		}, ""},
		{"announced", func(_ *testing.T, _ *fleet, r *Runner) { r.ObserveHolder("job", "other", "1") }, ""},
		{"in the store", func(t *testing.T, f *fleet, _ *Runner) {
			record := j
			_, err := logs.New(f.objects).Accept(t.Context(), &record, newItems("job", 2), map[int]bool{})
			is.New(t).NoErr(err)
		}, ""},
		{"half written", func(t *testing.T, f *fleet, _ *Runner) { f.writeRecordOnly(t, j, newItems("job", 2)) }, fault.CodeOutcomeUnknown},
		{"being written", func(_ *testing.T, _ *fleet, r *Runner) {
			r.lock.Lock()
			defer r.lock.Unlock()
			r.reserve(&testRoute, &work.Job{ID: "job"})
		}, fault.CodeOutcomeUnknown},
		{"unknown", func(*testing.T, *fleet, *Runner) {}, fault.CodeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, 0)
			f.setUsedSlots(100)
			r, stop := f.start("e")
			defer stop()
			c.known(t, f, r)
			is.New(t).Equal(fault.CodeOf(r.Refuse(t.Context(), "job", "", reason)), c.want)
		})
	}
}

// Guards against a job that runs although its caller has ended it at another instance while its submission was being written: shortly
// before it is held, and long before.
func TestEndDuringSubmission(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage time.Duration
	}{
		{"announced", 0},
		{"announcement forgotten", 3 * announcementTTL},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 0)
				f.setUsedSlots(100)
				r, stop := f.start("e")
				defer stop()
				lost := c.outage > 0
				f.objects.Choose(func(kind string) fault.Code {
					if lost && kind == "job-parts" {
						return fault.CodeStoreUnavailable
					}

					return ""
				})
				items := newItems("job", 2)
				r.ObserveEnd("job")
				is.NoErr(logs.New(f.objects).End(t.Context(), "job", time.Now()))
				err := r.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, items)
				is.Equal(err != nil, lost)
				time.Sleep(c.outage)
				f.objects.Choose(nil)
				time.Sleep(2 * maxResolvePause)
				is.True(r.holds("job"))
				f.setUsedSlots(0)
				time.Sleep(5 * time.Second)
				found, err := logs.New(f.objects).Segment(t.Context(), "job", 0)
				is.NoErr(err)
				is.Equal(len(found), 0) // nothing has run
			})
		})
	}
}

// Guards against a job that stands still although it was acknowledged: its record, written late by a lost instance, was not there when jobs
// without a holder were looked for, and the instance that got the job again did not take it.
func TestRepeatThatIsNotTakenFindsHolder(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
		late   bool
	}{
		{"over the limit", 2000, false},
		{"expected to be late", 20, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 0)
				l := logs.New(f.objects)
				items := newItems("job", 2)
				j := work.Job{ID: "job", Host: "h", Target: "/b/1", Items: len(items), Tokens: c.tokens, SubmittedAt: time.Now(), Holder: "gone"}
				_, err := l.Accept(t.Context(), &j, items, map[int]bool{})
				is.NoErr(err)
				r, stop := f.start("e")
				defer stop()
				if c.late {
					r.lock.Lock()
					r.runTime.observe(time.Second, 10, 10)
					r.lock.Unlock()
					f.overload(3)
					time.Sleep(20 * time.Second)
				}
				is.NoErr(r.Submit(t.Context(), &testRoute, j, items))
				time.Sleep(8 * time.Second)
				is.True(check(t, l, "job", len(items)))
			})
		})
	}
}

// slowLog is a job log that takes a second to accept a job.
type slowLog struct {
	joblog
}

func (l slowLog) Accept(ctx context.Context, j *work.Job, items []work.Item, written map[int]bool) (int64, error) {
	time.Sleep(time.Second)

	return l.joblog.Accept(ctx, j, items, written)
}

// Guards against jobs past the limit of waiting tokens, accepted while others are being written and are counted by nobody.
func TestSubmissionsThatComeTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.setUsedSlots(100)
		r, stop := f.start("e")
		defer stop()
		r.lock.Lock()
		r.log = slowLog{joblog: r.log}
		r.lock.Unlock()
		submit := func(id string) error {
			items := newItems(id, 60)

			return r.Submit(t.Context(), &testRoute, work.Job{ID: id, Host: "h", Target: "/b/1", Tokens: 600, SubmittedAt: time.Now()}, items)
		}
		outcomes := make(chan error, 2)
		for range 2 {
			go func() { outcomes <- submit("job") }() // a job that comes again while it is written fits
		}
		time.Sleep(time.Millisecond)
		b := &gossip.Heartbeat{}
		r.FillHeartbeat(b)
		is.Equal(b.Waiting["jobs"], 600)
		is.Equal(fault.CodeOf(submit("other")), fault.CodeOverloaded)
		for range 2 {
			is.NoErr(<-outcomes)
		}
		r.FillHeartbeat(b)
		is.Equal(b.Waiting["jobs"], 600)
		r.StopEnded("job")
		is.NoErr(submit("other")) // nothing stays reserved
		r.FillHeartbeat(b)
		is.Equal(b.Waiting["jobs"], 600)
	})
}

// Guards against other instances that no longer see the tokens of a job whose submission has an unknown outcome and may run.
func TestUnknownSubmissionIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.setUsedSlots(100)
		r, stop := f.start("e")
		defer stop()
		f.objects.Choose(func(kind string) fault.Code {
			if kind == "job-parts" {
				return fault.CodeStoreUnavailable
			}

			return ""
		})
		err := r.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", Tokens: 20, SubmittedAt: time.Now()}, newItems("job", 2))
		is.True(err != nil)
		b := &gossip.Heartbeat{}
		r.FillHeartbeat(b)
		is.Equal(b.Waiting["jobs"], 20)
	})
}

// Guards against a job that fits and is refused because of one that is being written and may never be accepted, and against such jobs that
// together exceed the tolerance.
func TestJobsThatAreBeingWrittenMayExceedTheLimit(t *testing.T) {
	r, stop := newFleet(1, 0).start("e1")
	stop()
	limit := route.Route{MaxTokens: 1000}
	for _, c := range []struct {
		name                     string
		room                     float64
		waiting, pending, tokens int
		exceeds                  bool
	}{
		{"fits beside all", 0.075, 500, 500, 500, false},
		{"fits beside what is accepted", 0.075, 530, 530, 545, false},
		{"exceeds the tolerance", 0.075, 530, 530, 546, true},
		{"exceeds what is accepted", 0.075, 501, 0, 500, true},
		{"no tolerance", 0, 530, 530, 471, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r.pendingRoom = c.room
			is.New(t).Equal(r.exceeds(&limit, c.waiting, c.pending, c.tokens), c.exceeds)
		})
	}
	is.New(t).True(!r.exceeds(&route.Route{}, 1, 0, 1000))
}

// Guards against a job that this instance holds twice: a repeat that came while the job was written and whose outcome was unknown replaced
// the one that runs, whose items went on and whose results were dropped.
func TestUnknownRepeatOfHeldJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		r, stop := f.start("e")
		defer stop()
		r.lock.Lock()
		r.log = slowLog{joblog: r.log}
		r.lock.Unlock()
		submit := func() error {
			j := work.Job{ID: "job", Host: "h", Target: "/b/1", Tokens: 20, SubmittedAt: time.Now()}

			return r.Submit(t.Context(), &testRoute, j, newItems("job", 2))
		}
		repeated := make(chan error, 1)
		go func() {
			time.Sleep(500 * time.Millisecond)
			repeated <- submit()
		}()
		is.NoErr(submit())
		f.objects.Choose(func(kind string) fault.Code {
			if kind == "job-parts" {
				return fault.CodeStoreUnavailable
			}

			return ""
		})
		r.lock.Lock()
		first := r.jobs["job"]
		r.lock.Unlock()
		time.Sleep(time.Second)
		f.objects.Choose(nil)
		is.NoErr(<-repeated)
		time.Sleep(5 * time.Second)
		r.lock.Lock()
		is.True(r.jobs["job"] == first)
		is.Equal(len(r.unresolved), 0)
		r.lock.Unlock()
	})
}
