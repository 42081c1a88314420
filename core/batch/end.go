package batch

import (
	"context"
	"encoding/json"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/core/sweep"
)

// end records in the job that all chunks are published and removes the job from the index.
func (r *Runner) end(ctx context.Context, w *knownJob) error {
	key := job.RecordKey(w.open.Workspace, w.open.ID)
	for {
		var j job.Job
		version, err := r.get(ctx, key, &j)
		if err != nil {
			return err
		}
		if j.State != job.JobStateOpen {
			return r.removeOpen(ctx, w, j)
		}
		at := r.now().UTC()
		j.State = job.JobStateCompleted
		if !at.Before(j.Deadline) {
			failed, err := r.failed(ctx, w)
			if err != nil {
				return err
			}
			if failed > 0 {
				j.State = job.JobStateExpired
			}
		}
		j.EndedAt = &at
		j.Operation = "end " + r.name + " " + r.incarnation
		value, err := json.Marshal(j)
		if err != nil {
			return fault.Wrap(err, fault.CodeInternal, "cannot encode the job")
		}
		_, err = r.objects.Put(ctx, key, value, version)
		// After a conflict or a lost answer the record is read again, which shows who ended the job.
		if c := fault.CodeOf(err); c != "" && c != fault.CodeConflict && c != fault.CodeOutcomeUnknown {
			return err
		}
	}
}

// sweep deletes the claims and unused parts of an ended job. It is not repeated after a failure, since nothing reads what is
// left.
func (r *Runner) sweep(ctx context.Context, id string) {
	if err := sweep.New(r.objects).Sweep(ctx, id); err != nil && ctx.Err() == nil {
		r.log.Warn("cannot sweep an ended job", "job", id, "error", err)
	}
}

// failed counts the failed items of a job whose chunks are all published.
func (r *Runner) failed(ctx context.Context, w *knownJob) (int, error) {
	sum := 0
	for n := range w.chunks {
		var c job.ChunkResult
		if _, err := r.get(ctx, job.ResultKey(w.open.ID, n), &c); err != nil {
			return 0, err
		}
		sum += c.Failed
	}

	return sum, nil
}

// removeOpen deletes the index entry of an ended job. The entry of a canceled job stays for a while, as other runners
// read the cancellation from it; the job store removes it later.
func (r *Runner) removeOpen(ctx context.Context, w *knownJob, j job.Job) error {
	if j.State != job.JobStateCancelled {
		_, version, err := r.objects.Get(ctx, job.OpenKey(w.open.ID))
		if err == nil {
			err = r.objects.Delete(ctx, job.OpenKey(w.open.ID), version)
			if err == nil || fault.CodeOf(err) == fault.CodeOutcomeUnknown {
				// Only the instance that removes the entry sweeps the job, so that it is usually swept once.
				r.chunks.Go(func() { r.sweep(ctx, w.open.ID) })
			}
		}
		// A conflict or a lost answer needs no retry: the job store removes entries of ended jobs later.
		if c := fault.CodeOf(err); c != "" && c != fault.CodeNotFound && c != fault.CodeConflict && c != fault.CodeOutcomeUnknown {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.ended = true
	w.stop()

	return nil
}
