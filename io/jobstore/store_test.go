package jobstore

import (
	"bytes"
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/internal/fakestore"
	"tarragonwalk/internal/subprocess"
	"tarragonwalk/io/objectstore"
)

const input = `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}
{"custom_id":"b","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}
`

func setup(is *is.I) (*fakestore.Store, *Store, job.Submission) {
	f := fakestore.New()
	s := New(f, func() configuration.BatchDefaults {
		return configuration.BatchDefaults{Attempts: 3, ChunkItems: 1, ChunkBytes: 1000, MaxItems: 10}
	}, time.Now)
	file, err := s.PutFile(context.Background(), "w/x", "name", strings.NewReader(input))
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(s.ReadFile(context.Background(), "w/x", file.ID, &b))
	is.Equal(b.String(), input)

	return f, s, job.Submission{Workspace: "w/x", File: file.ID, Deployment: "d", Deadline: time.Now().Add(time.Hour)}
}

// Guards against a second job for a resent submission, a wrong code not_run, and a submission that makes more store calls
// than documented.
func TestSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s, u := setup(is)
		f.SetDown(true)
		_, err := s.Submit(t.Context(), u)
		is.Equal(fault.CodeOf(err), fault.CodeNotRun)
		f.SetDown(false)
		f.SetLose(func(_, key string) bool { return strings.HasPrefix(key, "job/") })
		calls := f.Calls()
		first, err := s.Submit(t.Context(), u)
		is.NoErr(err)
		is.True(f.Calls()-calls <= 8)
		f.SetLose(nil)
		u.Deadline = u.Deadline.Add(time.Minute) // a resend computes a later deadline from the same window
		again, err := s.Submit(t.Context(), u)
		is.NoErr(err)
		is.Equal(again, first)
		u.IdempotencyKey = "second"
		other, err := s.Submit(t.Context(), u)
		is.NoErr(err)
		is.True(other.Job.ID != first.Job.ID)
		u.IdempotencyKey = "late"
		u.Deadline = time.Now()
		_, err = s.Submit(t.Context(), u)
		is.Equal(fault.CodeOf(err), fault.CodeDeadlinePassed)
		jobs, more, err := s.ListJobs(t.Context(), "w/x", "", 1)
		is.NoErr(err)
		is.True(more)
		is.Equal(len(jobs), 1)
	})
}

// Guards against a cancellation that changes an ended job, or that fails because the store's response is lost.
func TestCancel(t *testing.T) {
	for _, key := range []string{"", "job/", "open/"} {
		t.Run("lost "+key, func(t *testing.T) {
			is := is.New(t)
			f, s, u := setup(is)
			st, err := s.Submit(t.Context(), u)
			is.NoErr(err)
			f.SetLose(func(_, k string) bool { return key != "" && strings.HasPrefix(k, key) })
			first, err := s.Cancel(t.Context(), "w/x", st.Job.ID)
			is.NoErr(err)
			is.Equal(first.Job.State, job.JobStateCancelled)
			var o job.OpenJob
			_, err = s.get(t.Context(), job.OpenKey(st.Job.ID), &o)
			is.NoErr(err)
			is.True(o.Cancelled)
			again, err := s.Cancel(t.Context(), "w/x", st.Job.ID)
			is.NoErr(err)
			is.Equal(again.Job.EndedAt, first.Job.EndedAt)
		})
	}
}

// interrupted calls f after the first read of a job record, as if the process was paused there.
type interrupted struct {
	*fakestore.Store
	once sync.Once
	f    func()
}

func (i *interrupted) Get(ctx context.Context, key string) ([]byte, int64, error) {
	value, version, err := i.Store.Get(ctx, key)
	if strings.HasPrefix(key, "job/") {
		i.once.Do(i.f)
	}

	return value, version, err
}

// Guards against a concurrent submission that clears the cancellation mark, so that runners continue the job.
func TestSubmitAfterCancel(t *testing.T) {
	is := is.New(t)
	f, s, u := setup(is)
	i := &interrupted{Store: f}
	i.f = func() {
		st, err := s.Submit(t.Context(), u)
		is.NoErr(err)
		_, err = s.Cancel(t.Context(), "w/x", st.Job.ID)
		is.NoErr(err)
	}
	st, err := New(i, s.limits, time.Now).Submit(t.Context(), u)
	is.NoErr(err)
	is.Equal(st.Job.State, job.JobStateCancelled)
	var o job.OpenJob
	_, err = s.get(t.Context(), job.OpenKey(st.Job.ID), &o)
	is.NoErr(err)
	is.True(o.Cancelled)
}

// Guards against a view that stays out of date, and against index entries without a record that are never removed.
func TestFollowOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s, u := setup(is)
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var seen []job.OpenJob
		var seenAt time.Time
		view := func() ([]job.OpenJob, time.Time) {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()

			return seen, seenAt
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.FollowOpen(ctx, func(jobs []job.OpenJob, _ int64, t time.Time) {
				mu.Lock()
				defer mu.Unlock()
				seen, seenAt = jobs, t
			})
		}()
		_, err := s.Submit(ctx, u)
		is.NoErr(err)
		orphan := job.Job{ID: "orphan", Workspace: "w/x", Deployment: "d", File: "f", Items: 1, Chunks: 1, Attempts: 1}
		is.NoErr(s.ensureOpen(ctx, orphan))
		last, _ := view()
		var at time.Time
		is.Equal(len(last), 2)
		for range 50 {
			time.Sleep(time.Second)
			_, at = view()
			is.True(time.Since(at) <= 3*time.Second)
		}
		is.Equal(len(last), 2)
		time.Sleep(20 * time.Second)
		last, _ = view()
		is.Equal(len(last), 1)
		is.True(last[0].ID != "orphan")
		f.SetDown(true)
		time.Sleep(10 * time.Second)
		_, at = view()
		is.True(time.Since(at) > 7*time.Second)
		cancel()
		<-ended
	})
}

// between calls run after the first read of a key, to interleave two callers.
type between struct {
	*fakestore.Store
	key string
	run func()
}

func (b *between) Get(ctx context.Context, key string) ([]byte, int64, error) {
	value, version, err := b.Store.Get(ctx, key)
	if run := b.run; key == b.key && run != nil {
		b.run = nil
		run()
	}

	return value, version, err
}

// Guards against an upload that replaces the chunks of an earlier upload of the same content with other chunk limits.
func TestChunkLimits(t *testing.T) {
	is := is.New(t)
	f := fakestore.New()
	with := func(items int) func() configuration.BatchDefaults {
		return func() configuration.BatchDefaults {
			return configuration.BatchDefaults{Attempts: 3, ChunkItems: items, ChunkBytes: 1000, MaxItems: 10}
		}
	}
	first, err := New(fakestore.New(), with(1), time.Now).PutFile(t.Context(), "w", "f", strings.NewReader(input))
	is.NoErr(err)
	var stored job.File
	b := &between{Store: f, key: job.FileKey("w", first.ID), run: func() {
		stored, err = New(f, with(1), time.Now).PutFile(t.Context(), "w", "f", strings.NewReader(input))
		is.NoErr(err)
	}}
	s := New(b, with(2), time.Now)
	second, err := s.PutFile(t.Context(), "w", "f", strings.NewReader(input))
	is.NoErr(err)
	is.Equal(second, stored)
	is.Equal(len(second.Chunks), 2)
	var content bytes.Buffer
	is.NoErr(s.ReadFile(t.Context(), "w", second.ID, &content))
	is.Equal(content.String(), input)
}

// brokenSweep panics when the leftovers of a job are listed.
type brokenSweep struct {
	*fakestore.Store
}

func (b brokenSweep) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Entry, int64, error) {
	if prefix != job.OpenPrefix {
		panic("cannot list " + prefix)
	}

	return b.Store.List(ctx, prefix, after, limit)
}

// Guards against a panic that nobody sees before the process stops, while the leftovers of jobs stay.
func TestPanicInSweep(t *testing.T) {
	subprocess.Panics(t, "cannot list ", func() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, s, u := setup(is)
			st, err := s.Submit(t.Context(), u)
			is.NoErr(err)
			_, err = s.Cancel(t.Context(), "w/x", st.Job.ID)
			is.NoErr(err)
			is.NoErr(s.ensureOpen(t.Context(), st.Job))
			s.objects = brokenSweep{Store: f}
			go s.FollowOpen(t.Context(), func([]job.OpenJob, int64, time.Time) {})
			time.Sleep(time.Hour)
			os.Exit(0)
		})
	})
}
