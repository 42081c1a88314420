package jobrun

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/work"
)

// overload makes a fleet need a multiple of the bound of a job for the items that it has accepted.
func (f *fleet) overload(bounds int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.progress = map[string]gossip.BatchProgress{testRoute.Name: {Remaining: 60000 * 3 * bounds, Queued: 10, Events: 60000}}
}

// Guards against accepting a job that cannot be completed in time, refusing one that was accepted before, a refused job of which a part is
// stored, and a refused job whose bound begins anew when it comes again at another instance.
func TestJobThatCannotBeInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	first, stopFirst := f.start("e1")
	defer stopFirst()
	second, stopSecond := f.start("e2")
	defer stopSecond()
	submit := func(r *Runner, id string) error {
		j := work.Job{ID: id, Host: "h", Target: "/b/1", SubmittedAt: time.Now(), Tokens: 10}

		return r.Submit(t.Context(), &testRoute, j, []work.Item{{ID: id + "-0", Target: "/b/1", Body: []byte("x"), Tokens: 10}})
	}
	for _, r := range []*Runner{first, second} {
		r.lock.Lock()
		r.runTime.observe(time.Second, 10, 10)
		r.lock.Unlock()
	}
	is.NoErr(submit(first, "accepted"))
	f.overload(3)
	is.NoErr(submit(first, "early")) // the estimate is not known yet
	for n, end := 0, time.Now().Add(testLimit); fault.CodeOf(submit(first, fmt.Sprint("late", n))) != fault.CodeOverloaded; n++ {
		is.True(time.Now().Before(end)) // it has to be known after some seconds
		time.Sleep(500 * time.Millisecond)
	}
	err := submit(first, "refused")
	var refusal *fault.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, fault.CodeOverloaded)
	is.True(time.Until(refusal.RetryAt) > 15*time.Second) // 54 s of work, of which two bounds of 18 s may wait
	is.True(time.Until(refusal.RetryAt) < 20*time.Second)
	_, _, err = first.log.Job(t.Context(), "refused")
	is.Equal(fault.CodeOf(err), fault.CodeNotFound)
	is.NoErr(submit(first, "accepted"))
	is.NoErr(submit(second, "accepted"))

	var b gossip.Heartbeat
	first.FillHeartbeat(&b)
	is.True(len(b.Refused) > 0)
	began := time.Now().Add(-10 * time.Second)
	second.ObserveRefusal("again", began)
	f.overload(0)
	is.NoErr(submit(second, "again"))
	j, _, err := second.log.Job(t.Context(), "again")
	is.NoErr(err)
	is.True(j.SubmittedAt.Equal(began))
	second.ObserveRefusal("new", time.Now().Add(-20*time.Second))
	is.NoErr(submit(second, "new"))
	j, _, err = second.log.Job(t.Context(), "new")
	is.NoErr(err)
	is.True(time.Since(j.SubmittedAt) < 10*time.Second) // its first bound has passed
}
