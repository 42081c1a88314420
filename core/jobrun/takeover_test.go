package jobrun

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/work"
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
