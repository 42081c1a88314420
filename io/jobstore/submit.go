package jobstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

// openGrace is how long Submit may take between writing the index entry and the record before it writes the entry again. It
// is half of orphanAge, after which an index entry without a record is removed.
const openGrace = orphanAge / 2

// Submit accepts a job, or returns the existing one of an earlier submission with the same identity. It makes four calls,
// more only after conflicts, lost responses or a long pause, and O(chunks) for an existing job.
func (s *Store) Submit(ctx context.Context, u job.Submission) (job.Status, error) {
	id := job.ID(u)
	var old job.Job
	_, err := s.get(ctx, job.RecordKey(u.Workspace, id), &old)
	switch fault.CodeOf(err) {
	case "":
		return s.resubmitted(ctx, old)
	case fault.CodeNotFound:
	default:
		return job.Status{}, notRun(err)
	}
	if !u.Deadline.After(s.now()) {
		return job.Status{}, fault.New(fault.CodeDeadlinePassed, "the deadline has passed")
	}
	f, err := s.GetFile(ctx, u.Workspace, u.File)
	if err != nil {
		return job.Status{}, notRun(err)
	}
	j := s.record(u, id, f)
	start := s.now()
	if err := s.checkFeasible(j, start); err != nil {
		return job.Status{}, err
	}
	if err := s.ensureOpen(ctx, j); err != nil {
		return job.Status{}, notRun(err)
	}
	value, err := json.Marshal(j)
	if err != nil {
		return job.Status{}, fault.Wrap(err, fault.CodeInternal, "encode the job")
	}
	created, err := s.create(ctx, job.RecordKey(j.Workspace, id), value)
	if err != nil {
		if fault.CodeOf(err) == fault.CodeStoreUnavailable {
			err = notRun(err)
		}

		return job.Status{}, err
	}
	if !created {
		// A concurrent submission or an earlier attempt of this write created the record.
		return s.GetJob(ctx, u.Workspace, id)
	}
	if s.now().Sub(start) > openGrace {
		if err := s.ensureOpen(ctx, j); err != nil {
			return job.Status{}, fault.Wrap(err, fault.CodeOutcomeUnknown, "the job is recorded but may not be indexed")
		}
	}

	return job.Status{
		Job: j,
	}, nil
}

// checkFeasible refuses a job with more items than its deployment completes before the deadline at the measured rate.
func (s *Store) checkFeasible(j job.Job, at time.Time) error {
	if s.rates == nil {
		return nil
	}
	rate, known := s.rates.ItemRate(j.Deployment)
	if seconds := j.Deadline.Sub(at).Seconds(); known && float64(j.Items) > rate*seconds {
		return fault.New(fault.CodeNotRun, fmt.Sprintf("%d items cannot end in %.0f s at %.2f items a second of deployment %s",
			j.Items, seconds, rate, j.Deployment))
	}

	return nil
}

// resubmitted returns the status of an existing job. It restores the index entry of an open job if it is missing: the
// submission that wrote the record may have been paused for so long that the entry was removed.
func (s *Store) resubmitted(ctx context.Context, j job.Job) (job.Status, error) {
	if j.State == job.JobStateOpen {
		if _, err := s.create(ctx, job.OpenKey(j.ID), encodeOpen(j)); err != nil {
			return job.Status{}, err
		}
	}

	return s.status(ctx, j)
}

func (s *Store) record(u job.Submission, id string, f job.File) job.Job {
	attempts := u.Attempts
	if attempts < 1 {
		attempts = max(1, s.limits().Attempts)
	}

	return job.Job{
		ID:         id,
		Workspace:  u.Workspace,
		File:       f.ID,
		Deployment: u.Deployment,
		Model:      f.Model,
		Items:      f.Items,
		Chunks:     len(f.Chunks),
		Attempts:   attempts,
		AcceptedAt: s.now().UTC(),
		Deadline:   u.Deadline.UTC(),
		State:      job.JobStateOpen,
		Metadata:   job.JobMetadata(u.Metadata),
	}
}

// ensureOpen creates the index entry or writes it again. The new version restarts the time after which an entry without a
// record is removed, and makes a concurrent removal fail. An entry that is marked as canceled is not changed: another
// submission of the job was accepted and canceled in the meantime.
func (s *Store) ensureOpen(ctx context.Context, j job.Job) error {
	value := encodeOpen(j)
	for {
		created, err := s.create(ctx, job.OpenKey(j.ID), value)
		if err != nil || created {
			return err
		}
		var old job.OpenJob
		version, err := s.get(ctx, job.OpenKey(j.ID), &old)
		if fault.CodeOf(err) == fault.CodeNotFound {
			continue
		}
		if err != nil || old.Cancelled {
			return err
		}
		_, err = s.objects.Put(ctx, job.OpenKey(j.ID), value, version)
		if fault.CodeOf(err) != fault.CodeConflict {
			return err
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
}

// encodeOpen returns the index entry of a job. Encoding cannot fail: the type holds strings, numbers and a time.
func encodeOpen(j job.Job) []byte {
	value, _ := json.Marshal(job.OpenJob{
		ID:         j.ID,
		Workspace:  j.Workspace,
		Deployment: j.Deployment,
		File:       j.File,
		Items:      j.Items,
		Chunks:     j.Chunks,
		Attempts:   j.Attempts,
		Deadline:   j.Deadline,
		Cancelled:  j.State == job.JobStateCancelled,
	})

	return value
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.CodeCancelled, "stopped")
	}
}
