package jobrun

import (
	"context"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/work"
)

const (
	// rankDelay is how long each instance waits, after the one ranked before it, before it takes a job over in its place.
	rankDelay = 2 * time.Second
	// maxTakeovers bounds the concurrent takeovers.
	maxTakeovers = 4
	// takeoverTimeout bounds the takeover of one job.
	takeoverTimeout = 4 * time.Second
)

// AnnounceOrphans looks for jobs without a live holder and announces them, so that the instance ranked first for each takes it
// over; it reports whether there are any. A few instances do this for the whole fleet: the list of all jobs is long, and if
// every instance read it after a restart of the fleet, the responses would saturate the links to the store.
func (r *Runner) AnnounceOrphans(ctx context.Context) (remain bool, err error) {
	if r.cluster.Isolated() {
		return true, nil
	}
	jobs, _, err := r.log.Jobs(ctx)
	if err != nil {
		return true, err
	}
	at := r.now()
	for i := range jobs {
		j := &jobs[i]
		old := at.Sub(j.SubmittedAt) - r.keepFor - maxClockSkew
		switch {
		case j.Finished && old <= 0:
		case !r.orphan(j):
			// A holder that no heartbeat has named yet counts as alive for a grace period only, so the job has to be checked again.
			remain = remain || !r.holds(j.ID) && !r.cluster.Alive(j.Holder, j.Incarnation, at.Add(time.Hour))
		case old <= 0:
			remain = true
			r.announceOrphan(j, at)
		case old > time.Duration(r.rank(j.ID))*rankDelay:
			r.removeOld(ctx, j)
		}
	}

	return remain, nil
}

// removeOld deletes the objects of a job that has no holder and is no longer readable.
func (r *Runner) removeOld(ctx context.Context, j *work.Job) {
	var starts []int
	for position := 0; position < j.Items; {
		segment, err := r.log.Segment(ctx, j.ID, position)
		if err != nil || len(segment) == 0 {
			break
		}
		starts = append(starts, position)
		position += len(segment)
	}
	r.remove(ctx, j, starts)
}

func (r *Runner) holds(id string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()

	return r.jobs[id] != nil
}

// orphan reports whether no live process runs a job. That includes a job whose record names this process though it does not
// run it, since the response to its takeover was lost.
func (r *Runner) orphan(j *work.Job) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.jobs[j.ID] != nil || r.unresolved[j.ID] != nil || r.submitting[j.ID] > 0 {
		return false
	}
	mine := j.Holder == r.name && j.Incarnation == r.incarnation

	return mine || !r.cluster.Alive(j.Holder, j.Incarnation, r.now())
}

// takeOver reads a job's items and results and makes this instance the holder in the job's record. It does nothing if another
// instance has changed the record since the given revision.
func (r *Runner) takeOver(ctx context.Context, record work.Job, revision int64) error {
	items, err := r.log.Items(ctx, &record)
	if err != nil {
		return err
	}
	j := newJob(record, items)
	for len(j.results) < record.Items {
		segment, err := r.log.Segment(ctx, record.ID, len(j.results))
		if err != nil {
			return err
		}
		if len(segment) == 0 {
			break
		}
		j.list(len(j.results), segment)
	}
	if j.ended, err = r.log.Ended(ctx, record.ID); err != nil {
		return err
	}
	from := record.Holder
	record.Holder, record.Incarnation = r.name, r.incarnation
	revision, err = r.log.Update(ctx, record, revision)
	if fault.CodeOf(err) == fault.CodeConflict {
		return nil
	}
	if err != nil {
		return err
	}
	j.Holder, j.Incarnation, j.revision = r.name, r.incarnation, revision
	j.lateWritesUntil = r.now().Add(lateWriteWindow)
	r.lock.Lock()
	defer r.lock.Unlock()
	_, ended := r.ended[record.ID]
	_, endedByPeer := r.peerEnds[record.ID]
	j.ended = j.ended || ended || endedByPeer
	if r.jobs[record.ID] != nil {
		return nil
	}
	r.hold(record.ID, j)
	r.logger.Info("job taken over", "job", record.ID, "from", from, "listed", len(j.results), "items", record.Items,
		"ended", j.ended, "revision", revision)
	r.signal()

	return nil
}

// Stop starts no further items and releases each job once its running items have ended. Items that still run at the given time
// are cancelled.
func (r *Runner) Stop(ctx context.Context, until time.Time) {
	r.lock.Lock()
	r.stopping = true
	r.lock.Unlock()
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	forced := false
	for {
		r.lock.Lock()
		left := len(r.jobs)
		if !forced && !r.now().Before(until) {
			forced = true
			for _, j := range r.jobs {
				j.stopItems(errReleased)
			}
		}
		r.lock.Unlock()
		if left == 0 || r.now().After(until.Add(time.Second)) {
			return
		}
		r.signal()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// release clears the holder in a job's record, so that another instance takes the job over at once.
func (r *Runner) release(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	finished := j.complete() || j.ended
	record, revision, err := r.log.Job(ctx, j.ID)
	if err == nil && !finished && record.Holder == r.name && record.Incarnation == r.incarnation {
		record.Holder, record.Incarnation = "", ""
		_, err = r.log.Update(ctx, *record, revision)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	j.flushing = false
	if err != nil {
		j.retryAt = r.now().Add(retryPause)
		r.logger.Warn("job not released", "job", j.ID, "error", err.Error())

		return
	}
	r.drop(j)
	if !finished {
		r.released[j.ID] = r.now().Add(announcementTTL)
	}
	r.logger.Info("job released", "job", j.ID, "listed", len(j.results), "items", j.Items, "ended", j.ended)
}
