package jobrun

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/work"
)

const (
	// rankDelay is how long each instance waits, after the one ranked before it, before it takes a job over in its place.
	rankDelay = 2 * time.Second
	// maxTakeovers bounds the concurrent takeovers. Each reads tens of kilobytes, and all instances of a region share its link to
	// the store.
	maxTakeovers = 2
	// claimTimeout bounds the claim of a job whose holder is gone, loadTimeout the reads after it.
	claimTimeout = 4 * time.Second
	loadTimeout  = 10 * time.Second
	// claimLife is how long after its claim an instance may take a job over without asking the store again. Another instance that
	// claims the job in that time announces it for longer.
	claimLife = 500 * time.Millisecond
)

// AnnounceOrphans looks for jobs without a live holder and announces them, so that the instance ranked first for each takes it
// over; it reports whether there are any. A few instances do this for the whole fleet: the list of all jobs is long, and if
// every instance read it after a restart of the fleet, the responses would saturate the links to the store.
func (r *Runner) AnnounceOrphans(ctx context.Context) (remain bool, err error) {
	if r.cluster.Isolated() {
		return true, nil
	}
	jobs, _, err := r.log.Jobs(purpose.With(ctx, "search"))
	if err != nil {
		return true, err
	}
	at := r.now()
	for i := range jobs {
		j := &jobs[i]
		switch {
		case j.Finished && !r.expired(j, at):
		case !r.orphan(j):
			// A holder that no heartbeat has named yet counts as alive for a grace period only, so the job has to be checked again.
			remain = remain || !r.holds(j.ID) && !r.cluster.Alive(j.Holder, j.Incarnation, at.Add(time.Hour))
		case !j.Finished:
			remain = true
			r.announceOrphan(j, at)
		case at.Sub(r.expiry(j)) > time.Duration(r.rank(j.ID))*rankDelay:
			r.removeOld(ctx, j)
		}
	}

	return remain, nil
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
	if r.jobs[j.ID] != nil || r.unresolved[j.ID] != nil || r.submitting[j.ID] != nil {
		return false
	}

	if r.mine(j) || j.Holder == "" {
		return true
	}
	at := r.now()

	return !r.cluster.Paused(at) && !r.cluster.Alive(j.Holder, j.Incarnation, at)
}

// claim makes this instance the holder in a job's record, unless it is already. It returns false if that fails, without an error if
// another instance has changed the record since the given revision. An earlier claim without an answer may have taken effect late, so that
// a conflict alone does not show that it was another instance.
func (r *Runner) claim(ctx context.Context, record *work.Job, revision int64) (claimed int64, ok bool, err error) {
	if r.mine(record) {
		return revision, true, nil
	}
	if record.Holder != "" {
		record.Takeovers++
	}
	record.Holder, record.Incarnation = r.name, r.incarnation
	revision, err = r.log.Update(ctx, *record, revision)
	if fault.CodeOf(err) == fault.CodeConflict {
		current, currentRevision, err := r.log.Job(ctx, record.ID)

		return currentRevision, err == nil && r.mine(current), err
	}

	return revision, err == nil, err
}

// takeOver reads the items and results of a job that this instance has claimed, and runs it from then on. The claim comes first: over
// a slow link the reads may take several attempts, and instances that read before they claim would all read the same jobs. Lost is the
// incarnation of the process that held the job, empty if that released it.
func (r *Runner) takeOver(ctx context.Context, record work.Job, previous *work.Job, lost string, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	claimedAt := r.now()
	j, err := r.load(ctx, record)
	if err != nil {
		return err
	}
	j.heldAt = claimedAt
	if r.now().Sub(claimedAt) > claimLife {
		current, currentRevision, err := r.log.Job(ctx, record.ID)
		if err != nil {
			return err
		}
		if !r.mine(current) {
			r.logger.Info("job not taken over, since another instance holds it", "job", record.ID, "holder", current.Holder, "revision", currentRevision)

			return nil
		}
		revision = currentRevision
	}
	j.revision, j.previous = revision, previous.Incarnation
	j.previousUntil = r.now().Add(announcementTTL)
	j.lateWritesUntil = r.now().Add(lateWriteWindow)
	j.unfenced = true
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.jobs[record.ID] != nil {
		return nil
	}
	r.hold(record.ID, j)
	if key, ok := r.tokensKey(&j.Job, r.routeOf(j)); ok && lost != "" {
		// The lost process may not have learned of the job's end.
		r.cluster.RecordTakeover(lost, key, j.unfinishedTokens(), r.now())
	}
	r.logger.Info("job taken over", "job", record.ID, "from", previous.Holder, "listed", len(j.results), "items", record.Items,
		"ended", j.ended, "revision", revision)
	r.signal()

	return nil
}

// mine reports whether a job's record names this process as its holder.
func (r *Runner) mine(record *work.Job) bool {
	return record.Holder == r.name && record.Incarnation == r.incarnation
}

// load reads a job's items, its results and whether it has ended from the store.
func (r *Runner) load(ctx context.Context, record work.Job) (*job, error) {
	var items []work.Item
	var segments [][]work.Result
	var ended bool
	var failures [3]error
	var group conc.WaitGroup
	group.Go(func() { items, failures[0] = r.log.Items(ctx, &record) })
	group.Go(func() { segments, failures[1] = r.segments(ctx, &record) })
	group.Go(func() { ended, failures[2] = r.log.Ended(ctx, record.ID) })
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	j := newJob(record, items)
	for _, s := range segments {
		j.list(len(j.results), s)
	}
	for _, it := range j.items {
		it.failures = record.Failures[it.ID]
	}
	j.ended = ended

	return j, nil
}

// segments reads the segments of a job's results in their order.
func (r *Runner) segments(ctx context.Context, record *work.Job) ([][]work.Result, error) {
	var list [][]work.Result
	for position := 0; position < record.Items; {
		segment, err := r.log.Segment(ctx, record.ID, position)
		if err != nil {
			return nil, err
		}
		if len(segment) == 0 {
			break
		}
		list = append(list, segment)
		position += len(segment)
	}

	return list, nil
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
	ctx, cancel := context.WithTimeout(purpose.With(ctx, "release"), writeTimeout)
	defer cancel()
	finished := j.complete() || j.ended
	record, revision, err := r.log.Job(ctx, j.ID)
	if err == nil && !finished && r.mine(record) {
		record.Holder, record.Incarnation = "", ""
		r.lock.Lock()
		j.releasing = true
		record.Failures = j.failures()
		r.lock.Unlock()
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
