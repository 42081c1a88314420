package jobrun

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/work"
)

const shortRetention = 30 * time.Second

// setUsedSlots sets how many slots are in use; with 100 no item starts.
func (f *fleet) setUsedSlots(n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.usedSlots = n
}

// Guards against an open job that is deleted with its results once it is older than finished jobs are kept.
func TestOpenJobIsNotDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.keepFor = shortRetention
		f.setUsedSlots(100)
		r, stop := f.start("e")
		defer stop()
		items := newItems("job", 3)
		is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, items))
		time.Sleep(3 * shortRetention)
		body, found, err := r.Body(t.Context(), "job", "", items[0].ID)
		is.NoErr(err)
		is.True(found)
		is.Equal(body, items[0].Body)
		f.setUsedSlots(0)
		time.Sleep(10 * time.Second)
		// A caller that waits for the last item reads its result later than that.
		page, err := r.Read(t.Context(), "job", "", 0, time.Now())
		is.NoErr(err)
		is.Equal(len(page.Results), len(items))
		time.Sleep(2 * finishedRetention)
		is.Equal(f.objects.Len(), 0)
	})
}

// Guards against an open job that is deleted, instead of taken over, because its holder is lost when the job is old.
func TestOldOpenJobIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.keepFor = shortRetention
		f.abandonJobs(t, "job")
		time.Sleep(2 * shortRetention)
		f.setUsedSlots(0)
		r, stop := f.start("new")
		defer stop()
		for range 5 {
			_, err := r.AnnounceOrphans(t.Context())
			is.NoErr(err)
			time.Sleep(2 * time.Second)
		}
		is.True(check(t, logs.New(f.objects), "job", 2))
	})
}

// Guards against objects that stay in the store forever: of a job that its caller has ended, and of one whose items were never all
// written, after their holders were lost.
func TestOldJobsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.keepFor = shortRetention
		f.abandonJobs(t, "ended")
		l := logs.New(f.objects)
		is.NoErr(l.End(t.Context(), "ended", time.Now()))
		items := newItems("half", 2)
		f.writeRecordOnly(t, work.Job{ID: "half", Host: "h", Target: "/b/1", Items: len(items), SubmittedAt: time.Now(), Holder: "gone"}, items)
		r, stop := f.start("new")
		defer stop()
		for range 30 {
			_, err := r.AnnounceOrphans(t.Context())
			is.NoErr(err)
			time.Sleep(2 * time.Second)
		}
		_, _, err := l.Job(t.Context(), "half")
		is.Equal(fault.CodeOf(err), fault.CodeNotFound)
		is.Equal(f.objects.Len(), 0)
	})
}
