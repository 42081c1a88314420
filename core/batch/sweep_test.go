package batch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/job"
)

// Guards against claims and unused parts that are never deleted, and against deleting parts that a result names.
func TestSweep(t *testing.T) {
	for _, how := range []string{"completed", "canceled"} {
		bubble(t, how, func(is *is.I) {
			f := newFleet("a", "b")
			s, st := f.submit(is, 9, "x")
			// An earlier holder lost its chunk after it had written a part.
			_, err := f.store.Put(context.Background(), job.PartKey(st.Job.ID, 1, 7, 0), []byte("unused"), 0)
			is.NoErr(err)
			a, b := f.launch("a", "1", 1), f.launch("b", "1", 2)
			// The last of three rounds of items of 400 ms ends at 1.2 s, so it is running at 1 s.
			time.Sleep(time.Second)
			if how == "canceled" {
				cancelled, err := s.Cancel(context.Background(), "w", st.Job.ID)
				is.NoErr(err)
				is.Equal(cancelled.Job.State, job.JobStateCancelled)
			}
			time.Sleep(3 * time.Minute)
			a.stop()
			b.stop()
			<-a.ended
			<-b.ended
			claims, _, err := f.store.List(context.Background(), job.ClaimsPrefix(st.Job.ID), "", 100)
			is.NoErr(err)
			is.Equal(len(claims), 0)
			got, err := s.GetJob(context.Background(), "w", st.Job.ID)
			is.NoErr(err)
			if how == "completed" {
				results(is, s, st.Job.ID, 9)
				parts, _, err := f.store.List(context.Background(), job.PartsPrefix(st.Job.ID), "", 100)
				is.NoErr(err)
				is.Equal(len(parts), 3)
			} else {
				is.Equal(got.Job.State, job.JobStateCancelled)
			}
		})
	}
}
