package jobstore

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/background"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/core/sweep"
)

const (
	// pollTime is the length of a long poll.
	pollTime = 2 * time.Second
	// maxViewAge bounds the age of the view at the end of the next poll. Runners stop starting items when the view is older
	// than 3 s, and a change late in a poll must not cause that.
	maxViewAge = 2500 * time.Millisecond
	// orphanAge is how long an index entry may stay unchanged before its job record is checked.
	orphanAge = time.Minute
	// retryPause is the pause after a failed call.
	retryPause = 500 * time.Millisecond
)

// view is FollowOpen's copy of the open-job index.
type view struct {
	mu       sync.Mutex
	entries  map[string]*entry
	revision int64
	at       time.Time
}

type entry struct {
	open      job.OpenJob
	version   int64
	changedAt time.Time
	checkedAt time.Time
}

// FollowOpen calls on with the open jobs after each response of the store until ctx ends; at is a time at which the list was
// current. It keeps one long poll of 2 s open and makes one call per changed entry. It removes index entries that are
// unchanged for 60 s and whose job has no record or has ended, with up to two calls per entry and minute.
func (s *Store) FollowOpen(ctx context.Context, on func(jobs []job.OpenJob, revision int64, at time.Time)) {
	v := &view{
		entries: make(map[string]*entry),
	}
	var sweeps background.Tasks
	defer sweeps.Wait()
	for loaded := false; ctx.Err() == nil; {
		var err error
		if loaded {
			err = s.poll(ctx, v)
		} else {
			err = s.load(ctx, v)
		}
		if err != nil {
			// Any error other than an outage may mean that the store's change log no longer reaches back to the revision.
			if fault.CodeOf(err) != fault.CodeStoreUnavailable {
				loaded = false
			}
			_ = sleep(ctx, retryPause)

			continue
		}
		loaded = true
		on(v.jobs(), v.revision, v.at)
		s.removeOrphans(ctx, v, &sweeps)
	}
}

func (v *view) jobs() []job.OpenJob {
	jobs := make([]job.OpenJob, 0, len(v.entries))
	for _, e := range v.entries {
		jobs = append(jobs, e.open)
	}

	return jobs
}

// load lists the index and reads the entries whose version has changed.
func (s *Store) load(ctx context.Context, v *view) error {
	at := s.now()
	entries, revision, err := s.list(ctx, job.OpenPrefix)
	if err != nil {
		return err
	}
	present := make(map[string]bool, len(entries))
	var keys []string
	for _, e := range entries {
		present[e.Key] = true
		if old := v.entries[e.Key]; old == nil || old.version != int64(e.Version) {
			keys = append(keys, e.Key)
		}
	}
	for k := range v.entries {
		if !present[k] {
			delete(v.entries, k)
		}
	}
	if err := s.read(ctx, v, keys); err != nil {
		return err
	}
	v.revision = revision
	v.at = at

	return nil
}

// poll waits for changes and reads the changed entries.
func (s *Store) poll(ctx context.Context, v *view) error {
	sent := s.now()
	until := sent.Add(pollTime)
	if u := v.at.Add(maxViewAge); u.Before(until) {
		until = u
	}
	if u := sent.Add(pollTime / 20); until.Before(u) {
		until = u
	}
	changes, revision, err := s.objects.Watch(ctx, job.OpenPrefix, v.revision, until)
	if err != nil {
		return err
	}
	seen := make(map[string]bool)
	var keys []string
	for _, c := range changes {
		if !seen[c.Key] {
			seen[c.Key] = true
			keys = append(keys, c.Key)
		}
	}
	answered := s.now()
	if err := s.read(ctx, v, keys); err != nil {
		return err
	}
	v.revision = revision
	// An empty response after a full poll shows that nothing changed until its end. Any other response shows only that the
	// view was current when the poll was sent, since the response may have been delayed in transit.
	v.at = sent
	if len(changes) == 0 && !answered.Before(until) {
		v.at = until
	}

	return nil
}

// read updates the view with the entries of the keys and removes those that no longer exist.
func (s *Store) read(ctx context.Context, v *view, keys []string) error {
	p := pool.New().WithErrors().WithMaxGoroutines(maxParallelReads)
	for _, k := range keys {
		p.Go(func() error {
			value, version, err := s.objects.Get(ctx, k)
			v.mu.Lock()
			defer v.mu.Unlock()
			if fault.CodeOf(err) == fault.CodeNotFound {
				delete(v.entries, k)

				return nil
			}
			if err != nil {
				return err
			}
			e := &entry{
				version:   version,
				changedAt: s.now(),
			}
			if err := json.Unmarshal(value, &e.open); err != nil {
				return fault.Wrap(err, fault.CodeInternal, "decode "+k)
			}
			v.entries[k] = e

			return nil
		})
	}

	return p.Wait()
}

// removeOrphans deletes at most one old entry without an open job per call, so that the next poll is not delayed. If the job
// has ended, it sweeps the job's leftovers in the background: a canceled job, for example, has no runner that would.
func (s *Store) removeOrphans(ctx context.Context, v *view, sweeps *background.Tasks) {
	now := s.now()
	for k, e := range v.entries {
		if now.Sub(e.changedAt) < orphanAge || now.Sub(e.checkedAt) < orphanAge {
			continue
		}
		e.checkedAt = now
		var j job.Job
		_, err := s.get(ctx, job.RecordKey(e.open.Workspace, jobOf(k)), &j)
		if fault.CodeOf(err) == fault.CodeNotFound || (err == nil && j.State != job.JobStateOpen) {
			// The condition on the version keeps an entry that a submission has just rewritten.
			if s.objects.Delete(ctx, k, e.version) == nil && j.ID != "" {
				sweeps.Go(func() { _ = sweep.New(s.objects).Sweep(ctx, j.ID) })
			}
		}

		return
	}
}
