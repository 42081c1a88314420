package jobrun

import (
	"context"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/work"
)

// write lists results at a position. After a conflict it takes over what another writer has listed there.
func (r *Runner) write(ctx context.Context, j *job, position int, results []work.Result) {
	ctx, cancel := context.WithTimeout(purpose.With(ctx, "listing"), writeTimeout)
	defer cancel()
	held, err := r.stillHeld(ctx, j)
	if err == nil && !held {
		return
	}
	began := r.now()
	if err == nil {
		err = r.append(ctx, j, position, results)
	}
	conflict := fault.CodeOf(err) == fault.CodeConflict
	if conflict {
		results, err = r.log.Segment(ctx, j.ID, position)
		if err == nil {
			_, err = r.checkHolder(ctx, j)
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	j.flushing = false
	if err != nil {
		j.retryAt = r.now().Add(retryPause)
		r.logger.Warn("results not listed", "job", j.ID, "position", position, "results", len(results), "error", err.Error(),
			"after_ms", r.now().Sub(began).Milliseconds())

		return
	}
	j.unacknowledged = 0
	if conflict {
		j.expectOthers(r.now())
	} else {
		j.unfenced = false
	}
	j.list(position, results)
	r.logger.Info("results listed", "job", j.ID, "position", position, "results", len(results), "of", j.Items,
		"after_ms", r.now().Sub(began).Milliseconds())
}

// append writes results at a position and marks them as unacknowledged until it is known whether they were written.
func (r *Runner) append(ctx context.Context, j *job, position int, results []work.Result) error {
	r.lock.Lock()
	before := j.unacknowledged
	j.unacknowledged = max(before, len(results))
	r.lock.Unlock()
	err := r.log.Append(ctx, j.ID, position, results, r.incarnation)
	if fault.CodeOf(err) == fault.CodeStoreUnavailable {
		r.lock.Lock()
		j.unacknowledged = before
		r.lock.Unlock()
	}

	return err
}

// stillHeld reports whether this instance holds a job, and asks the store if others may have counted this instance as gone: a new
// holder does not look for results that another instance lists long after the takeover. An error means that the holder is unknown.
func (r *Runner) stillHeld(ctx context.Context, j *job) (bool, error) {
	r.lock.Lock()
	sure := j.doubtedBy == "" && !j.contested && !r.cluster.SuspectedSince(j.heldAt, r.now())
	r.lock.Unlock()
	if sure {
		return true, nil
	}

	return r.checkHolder(ctx, j)
}

// checkHolder reports whether this instance still holds a job and drops the job if not; an error means that the holder is
// unknown.
func (r *Runner) checkHolder(ctx context.Context, j *job) (held bool, err error) {
	at := r.now()
	r.lock.Lock()
	doubts := j.doubts
	r.lock.Unlock()
	record, revision, err := r.log.Job(ctx, j.ID)
	if err != nil {
		return false, err
	}
	if r.mine(record) {
		r.lock.Lock()
		defer r.lock.Unlock()
		j.heldAt = at
		if j.doubts != doubts {
			// The record may have changed since the store read it.
			return true, nil
		}
		j.contested = false
		if j.doubtedBy != "" {
			j.previous, j.doubtedBy = j.doubtedBy, ""
			j.previousUntil = r.now().Add(announcementTTL)
		}

		return true, nil
	}
	r.logger.Warn("job lost to another instance", "job", j.ID, "holder", record.Holder, "revision", revision)
	r.lock.Lock()
	defer r.lock.Unlock()
	r.drop(j)
	if record.Holder == "" {
		r.released[j.ID] = r.now().Add(announcementTTL)
	}

	return false, nil
}

// confirm asks the store who holds a job that another instance announces as its own.
func (r *Runner) confirm(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(purpose.With(ctx, "holder check"), writeTimeout)
	defer cancel()
	_, err := r.checkHolder(ctx, j)
	r.lock.Lock()
	defer r.lock.Unlock()
	defer r.signal()
	j.flushing = false
	if err != nil {
		pause := retryPause
		if j.doubtedBy == "" {
			pause = checkPause
		}
		j.retryAt = r.now().Add(pause)
	}
}

// drop removes a job that this instance no longer holds and stops its items; it needs the lock.
func (r *Runner) drop(j *job) {
	// The job may have been taken over again since the store was asked.
	if r.jobs[j.ID] == j {
		delete(r.jobs, j.ID)
		// Other instances would take a further announcement as proof that the job has a holder.
		delete(r.held, j.ID)
		delete(r.claimed, j.ID)
	}
	j.released = true
	for _, it := range j.items {
		r.endWait(j, it, r.now())
	}
	j.stopItems(errReleased)
	j.notify()
}

// resolveSubmission repeats a submission whose response was lost; step calls it until the outcome is known.
func (r *Runner) resolveSubmission(ctx context.Context, id string, j *job) {
	ctx, cancel := context.WithTimeout(purpose.With(ctx, "submission repeated"), writeTimeout)
	defer cancel()
	items := make([]work.Item, 0, len(j.items))
	for _, it := range j.items {
		items = append(items, it.Item)
	}
	record := j.Job
	revision, err := r.log.Accept(ctx, &record, items, j.written)
	held := err == nil
	var found *work.Job
	if fault.CodeOf(err) == fault.CodeConflict {
		found, revision, err = r.log.Job(ctx, id)
		held = err == nil && r.mine(found)
	}
	if err == nil && held {
		// The announcement of an end may be forgotten by now.
		var ended bool
		ended, err = r.log.Ended(ctx, id)
		r.lock.Lock()
		j.ended = j.ended || ended
		r.lock.Unlock()
	}
	if r.recordResolved(id, j, &record, revision, held, err) && !held {
		r.lock.Lock()
		r.recordCompleted(found)
		r.lock.Unlock()
		r.announceIfOrphan(found)
	}
}

// recordResolved records the outcome of a repeated submission; it reports whether the outcome is known.
func (r *Runner) recordResolved(id string, j *job, record *work.Job, revision int64, held bool, err error) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	j.flushing = false
	if err != nil {
		j.retryAt = r.now().Add(j.resolvePause)
		j.resolvePause = min(maxResolvePause, 2*j.resolvePause)

		return false
	}
	delete(r.unresolved, id)
	j.Parts = record.Parts
	j.revision = revision
	// Another submission of the job that came at the same time may have been accepted meanwhile, and its items run.
	if held && r.jobs[id] == nil {
		r.hold(id, j)
	}
	j.notify()
	r.logger.Info("job submission resolved", "job", id, "held", held)

	return true
}

// close marks the record of a job as finished: all its items are listed.
func (r *Runner) close(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(purpose.With(ctx, "closing"), writeTimeout)
	defer cancel()
	record, revision := j.Job, j.revision
	at := r.now().UTC()
	record.Finished, record.FinishedAt, record.Failures = true, &at, nil
	var err error
	if revision == 0 {
		_, revision, err = r.log.Job(ctx, j.ID)
	}
	if err == nil {
		revision, err = r.log.Update(ctx, record, revision)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	j.flushing = false
	switch fault.CodeOf(err) {
	case "", fault.CodeConflict:
		// After a conflict another instance holds the job and closes it.
		j.Finished, j.FinishedAt = true, record.FinishedAt
		j.revision = revision
	default:
		j.retryAt = r.now().Add(retryPause)
		r.logger.Warn("job not closed", "job", j.ID, "error", err.Error())
	}
}
