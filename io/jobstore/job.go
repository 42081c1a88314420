package jobstore

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

// maxParallelReads bounds the parallel reads of one call.
const maxParallelReads = 8

// GetJob returns a job with its progress; it makes two calls and one per published chunk.
func (s *Store) GetJob(ctx context.Context, workspace, id string) (job.Status, error) {
	var j job.Job
	if _, err := s.get(ctx, job.RecordKey(workspace, id), &j); err != nil {
		return job.Status{}, err
	}

	return s.status(ctx, j)
}

func (s *Store) status(ctx context.Context, j job.Job) (job.Status, error) {
	entries, _, err := s.list(ctx, job.ResultsPrefix(j.ID))
	if err != nil {
		return job.Status{}, err
	}
	p := pool.NewWithResults[job.ChunkResult]().WithErrors().WithMaxGoroutines(maxParallelReads)
	for _, e := range entries {
		p.Go(func() (job.ChunkResult, error) {
			var c job.ChunkResult
			_, err := s.get(ctx, e.Key, &c)

			return c, err
		})
	}
	results, err := p.Wait()
	if err != nil {
		return job.Status{}, err
	}
	st := job.Status{
		Job:        j,
		ChunksDone: len(results),
	}
	for _, c := range results {
		st.Completed += c.Completed
		st.Failed += c.Failed
	}

	return st, nil
}

// ListJobs returns up to limit jobs with IDs after the given one, ordered by ID and without their progress; it makes one
// call and one per job.
func (s *Store) ListJobs(ctx context.Context, workspace, after string, limit int) ([]job.Status, bool, error) {
	prefix := job.JobsPrefix(workspace)
	from := ""
	if after != "" {
		from = job.RecordKey(workspace, after)
	}
	entries, _, err := s.objects.List(ctx, prefix, from, limit+1)
	if err != nil {
		return nil, false, err
	}
	more := len(entries) > limit
	entries = entries[:min(limit, len(entries))]
	jobs := make([]job.Status, len(entries))
	p := pool.New().WithErrors().WithMaxGoroutines(maxParallelReads)
	for i, e := range entries {
		p.Go(func() error {
			_, err := s.get(ctx, e.Key, &jobs[i].Job)

			return err
		})
	}

	return jobs, more, p.Wait()
}

// Cancel cancels an open job and returns its status, or the final status of an ended one. It makes four calls and one per
// published chunk. An error after the record was changed has code outcome_unknown; a repeated call completes the
// cancellation.
func (s *Store) Cancel(ctx context.Context, workspace, id string) (job.Status, error) {
	var j job.Job
	for {
		version, err := s.get(ctx, job.RecordKey(workspace, id), &j)
		if err != nil {
			return job.Status{}, err
		}
		if j.State != job.JobStateOpen {
			break
		}
		at := s.now().UTC()
		j.State = job.JobStateCancelled
		j.EndedAt = &at
		j.Operation = "cancel"
		value, err := json.Marshal(j)
		if err != nil {
			return job.Status{}, fault.Wrap(err, fault.CodeInternal, "encode the job")
		}
		_, err = s.objects.Put(ctx, job.RecordKey(workspace, id), value, version)
		if err == nil {
			break
		}
		// After a conflict or a lost response, the record is read again to see whether and how the job has ended.
		if c := fault.CodeOf(err); c != fault.CodeConflict && c != fault.CodeOutcomeUnknown {
			return job.Status{}, err
		}
		j = job.Job{}
	}
	if j.State == job.JobStateCancelled {
		if err := s.markCancelled(ctx, j); err != nil {
			return job.Status{}, fault.Wrap(err, fault.CodeOutcomeUnknown, "the job is canceled but its index entry may not be marked yet")
		}
	}

	return s.status(ctx, j)
}

// markCancelled sets the cancellation mark on the index entry, if there is one.
func (s *Store) markCancelled(ctx context.Context, j job.Job) error {
	for {
		var o job.OpenJob
		version, err := s.get(ctx, job.OpenKey(j.ID), &o)
		if fault.CodeOf(err) == fault.CodeNotFound || (err == nil && o.Cancelled) {
			return nil
		}
		if err != nil {
			return err
		}
		_, err = s.objects.Put(ctx, job.OpenKey(j.ID), encodeOpen(j), version)
		if c := fault.CodeOf(err); c != fault.CodeConflict && c != fault.CodeOutcomeUnknown {
			return err
		}
	}
}

// ReadResults writes the published results in the order of items; it makes two calls, and per published chunk one call and
// one for each part.
func (s *Store) ReadResults(ctx context.Context, workspace, id string, w io.Writer) error {
	var j job.Job
	if _, err := s.get(ctx, job.RecordKey(workspace, id), &j); err != nil {
		return err
	}
	entries, _, err := s.list(ctx, job.ResultsPrefix(id))
	if err != nil {
		return err
	}
	done := make(map[string]bool, len(entries))
	for _, e := range entries {
		done[e.Key] = true
	}
	for n := range j.Chunks {
		if !done[job.ResultKey(id, n)] {
			continue
		}
		if err := s.readChunk(ctx, id, n, w); err != nil {
			return err
		}
	}

	return nil
}

func (s *Store) readChunk(ctx context.Context, id string, n int, w io.Writer) error {
	var c job.ChunkResult
	if _, err := s.get(ctx, job.ResultKey(id, n), &c); err != nil {
		return err
	}
	for p := range c.Parts {
		data, _, err := s.objects.Get(ctx, job.PartKey(id, n, c.Attempt, p))
		if err != nil {
			return err
		}
		if _, err := w.Write(data); err != nil {
			return fault.Wrap(err, fault.CodeCancelled, "write the results")
		}
	}

	return nil
}

// jobOf returns the job ID from a key of the open-job index.
func jobOf(key string) string {
	return strings.TrimPrefix(key, job.OpenPrefix)
}
