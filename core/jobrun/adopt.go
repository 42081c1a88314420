package jobrun

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/rendezvous"
	"tarragonwalk/core/work"
)

const (
	// turnDelay is how long the next instance in line waits before it takes a job over that the one before has left.
	turnDelay = 2 * time.Second
	// maxTakeovers bounds the jobs that are taken over at the same time.
	maxTakeovers = 4
	// adoptTimeout bounds the takeover of one job.
	adoptTimeout = 4 * time.Second
)

// Adopt looks for jobs without a live holder and takes over those whose turn it is for this instance; it reports whether
// jobs without a holder remain.
func (r *Runner) Adopt(ctx context.Context) (remain bool, err error) {
	if r.cluster.Isolated() {
		return true, nil
	}
	jobs, revisions, err := r.log.Jobs(ctx)
	if err != nil {
		return true, err
	}
	at := r.now()
	seen := map[string]bool{}
	var left atomic.Bool
	takeovers := pool.New().WithMaxGoroutines(maxTakeovers)
	for i := range jobs {
		j, revision := jobs[i], revisions[i]
		old := at.Sub(j.SubmittedAt) > r.keepFor+clockSkew
		if j.Finished && !old {
			continue
		}
		if !r.orphan(&j) {
			// Its holder may not have been heard of yet.
			if !r.holds(j.ID) && !r.cluster.Alive(j.Holder, j.Incarnation, at.Add(time.Hour)) {
				left.Store(true)
			}

			continue
		}
		seen[j.ID] = true
		switch {
		case !r.myTurn(j.ID, at):
			left.Store(true)
		case old:
			takeovers.Go(func() { r.removeOld(ctx, &j) })
		default:
			takeovers.Go(func() {
				if err := r.takeOver(ctx, j, revision); err != nil {
					r.logger.Warn("job not taken over", "job", j.ID, "error", err.Error())
					left.Store(true)
				}
			})
		}
	}
	takeovers.Wait()
	r.lock.Lock()
	defer r.lock.Unlock()
	for id := range r.orphans {
		if !seen[id] {
			delete(r.orphans, id)
		}
	}

	return left.Load(), nil
}

// removeOld deletes the objects of a job that nobody holds and that is no longer readable.
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

// orphan reports whether no live process runs a job. That includes one whose record names this process though it does not
// run it: the answer to its takeover was lost.
func (r *Runner) orphan(j *work.Job) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.jobs[j.ID] != nil || r.unsettled[j.ID] != nil || r.submitting[j.ID] > 0 {
		return false
	}
	mine := j.Holder == r.name && j.Incarnation == r.incarnation

	return mine || !r.cluster.Alive(j.Holder, j.Incarnation, r.now())
}

// myTurn lets instances take a job over in the order of their rendezvous weight, each after a delay.
func (r *Runner) myTurn(id string, at time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.stopping {
		return false
	}
	since, ok := r.orphans[id]
	if !ok {
		since = at
		r.orphans[id] = at
	}
	names := r.cluster.Live()
	turn := slices.Index(rendezvous.Top(id, names, len(names)), r.name)

	return turn >= 0 && at.Sub(since) >= time.Duration(turn)*turnDelay
}

func (r *Runner) takeOver(ctx context.Context, record work.Job, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
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
	j.doubtedUntil = r.now().Add(lateWrites)
	r.lock.Lock()
	defer r.lock.Unlock()
	_, ended := r.ended[record.ID]
	_, heard := r.heardEnds[record.ID]
	j.ended = j.ended || ended || heard
	if r.jobs[record.ID] != nil {
		return nil
	}
	r.hold(record.ID, j)
	r.logger.Info("job taken over", "job", record.ID, "from", from, "listed", len(j.results), "items", record.Items,
		"ended", j.ended, "revision", revision)
	r.signal()

	return nil
}

// Released takes over a job that its holder has given up, if it is this instance's turn.
func (r *Runner) Released(ctx context.Context, id string) error {
	r.lock.Lock()
	held := r.jobs[id] != nil
	r.lock.Unlock()
	if held || !r.myTurn(id, r.now()) {
		return nil
	}
	record, revision, err := r.log.Job(ctx, id)
	if err != nil {
		return err
	}
	if record.Finished || !r.orphan(record) {
		return nil
	}

	return r.takeOver(ctx, *record, revision)
}

// Stop starts no further items and gives jobs up once their running items have ended; at the given time those are stopped.
func (r *Runner) Stop(ctx context.Context, until time.Time) {
	r.lock.Lock()
	r.stopping = true
	r.lock.Unlock()
	t := time.NewTicker(tick)
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

// release gives a job up so that another instance takes it over at once.
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
		r.released[j.ID] = r.now().Add(newsLife)
	}
	r.logger.Info("job released", "job", j.ID, "listed", len(j.results), "items", j.Items, "ended", j.ended)
}
