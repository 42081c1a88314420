package jobrun

import (
	"context"
	"slices"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

const (
	// listDelay collects results that finish close together into one write.
	listDelay = 300 * time.Millisecond
	// writeTimeout bounds one write of results.
	writeTimeout = 3 * time.Second
	// urgentBefore is how long before a job is due its items use places that others leave free: twice the time that an
	// item of ordinary length takes.
	urgentBefore = 12 * time.Second
	// shortItem is the part of the usual time that a short item takes.
	shortItem = 0.6
	// retryPause is the pause after a failed write.
	retryPause = 250 * time.Millisecond
)

// candidate is a waiting item with the time at which its job is due.
type candidate struct {
	job   *job
	item  *item
	route *route.Route
	due   time.Time
	// late is set if the item cannot be done in time any more.
	late bool
}

// compareCandidates puts the item that is due first at the front, but those that are late behind all others: when there is
// more work than places, serving them first would make every item late by a little.
func compareCandidates(a, b candidate) int {
	if a.late != b.late {
		if a.late {
			return 1
		}

		return -1
	}

	return a.due.Compare(b.due)
}

// step starts what can start, lists what is due and settles submissions without an answer.
func (r *Runner) step(ctx context.Context) {
	r.lock.Lock()
	defer r.lock.Unlock()
	at := r.now()
	if !r.stopping {
		r.start(ctx, at)
	}
	for id, j := range r.jobs {
		switch {
		case j.flushing || at.Before(j.retryAt):
		case len(j.pending) > 0 && (at.Sub(j.pendingSince) >= listDelay || len(j.pending)+len(j.results) >= j.Items):
			j.flushing = true
			pending := slices.Clone(j.pending)
			position := len(j.results)
			r.tasks.Go(func() { r.write(ctx, j, position, pending) })
		case j.complete() && !j.Finished:
			j.flushing = true
			r.tasks.Go(func() { r.close(ctx, j) })
		case r.stopping && j.runningItems() == 0 && len(j.pending) == 0:
			j.flushing = true
			r.tasks.Go(func() { r.release(ctx, j) })
		case at.Sub(j.SubmittedAt) > r.keepFor+clockSkew:
			delete(r.jobs, id)
			r.tasks.Go(func() { r.remove(ctx, &j.Job, j.starts) })
		}
	}
	for id, j := range r.unsettled {
		if !j.flushing && !at.Before(j.retryAt) {
			j.flushing = true
			r.tasks.Go(func() { r.settle(ctx, id, j) })
		}
	}
}

// start gives places to waiting items.
func (r *Runner) start(ctx context.Context, at time.Time) {
	list := r.candidates(at)
	slices.SortStableFunc(list, compareCandidates)
	full := map[string]bool{}
	for _, c := range list {
		service := c.route.Service(r.placer.Point())
		if full[service] {
			continue
		}
		urgent := c.due.Sub(at) < urgentBefore
		s, release, ok := r.placer.Batch(service, nil, urgent, at)
		if !ok {
			full[service] = true

			continue
		}
		run, cancel := context.WithCancelCause(ctx)
		c.item.state = running
		c.item.server = s.ID
		c.item.startedAt = at
		c.item.cancel = cancel
		r.tasks.Go(func() {
			defer release()
			defer cancel(nil)
			r.runItem(run, c.job, c.item, c.route, s)
		})
	}
}

// candidates returns the waiting items and ends those that can no longer run.
func (r *Runner) candidates(at time.Time) []candidate {
	table, _ := r.routes.Current()
	if table == nil {
		return nil
	}
	var list []candidate
	for _, j := range r.jobs {
		if j.ended || j.released {
			continue
		}
		rt := r.routeOf(&j.Job)
		for _, it := range j.items {
			switch {
			case it.state != waiting || at.Before(it.notBefore):
			case rt == nil:
				r.logger.Info("item given up", "job", j.ID, "item", it.ID, "cause", "the route was removed", "version", table.Version)
				j.finish(it, work.StateDead, at)
			case rt.AbandonMillis > 0 && at.Sub(j.SubmittedAt) > time.Duration(rt.AbandonMillis)*time.Millisecond+clockSkew:
				r.logger.Info("item given up", "job", j.ID, "item", it.ID, "cause", "too old", "submitted_at", j.SubmittedAt)
				j.finish(it, work.StateDead, at)
			default:
				due := j.due(rt)
				list = append(list, candidate{
					job:   j,
					item:  it,
					route: rt,
					due:   due,
					late:  r.late(it, due, at),
				})
			}
		}
	}

	return list
}

// late reports whether an item cannot be done in time even if it is much shorter than most.
func (r *Runner) late(it *item, due, at time.Time) bool {
	return at.Add(time.Duration(shortItem * float64(r.pace.left(it.last)))).After(due)
}

// write lists results; after a conflict it reads what another writer has listed.
func (r *Runner) write(ctx context.Context, j *job, position int, results []work.Result) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.log.Append(ctx, j.ID, position, results, r.incarnation)
	if fault.CodeOf(err) == fault.CodeConflict {
		results, err = r.log.Segment(ctx, j.ID, position)
		if err == nil {
			r.checkHolder(ctx, j)
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	j.flushing = false
	if err != nil {
		j.retryAt = r.now().Add(retryPause)
		r.logger.Warn("results not listed", "job", j.ID, "position", position, "results", len(results), "error", err.Error())

		return
	}
	j.list(results)
	r.logger.Info("results listed", "job", j.ID, "position", position, "results", len(results), "of", j.Items)
}

// checkHolder gives a job up if another instance has taken it over.
func (r *Runner) checkHolder(ctx context.Context, j *job) {
	record, revision, err := r.log.Job(ctx, j.ID)
	if err != nil || record.Holder == r.name && record.Incarnation == r.incarnation {
		return
	}
	r.logger.Warn("job lost to another instance", "job", j.ID, "holder", record.Holder, "revision", revision)
	r.lock.Lock()
	defer r.lock.Unlock()
	r.drop(j)
}

// drop stops the items of a job that this instance no longer holds.
func (r *Runner) drop(j *job) {
	delete(r.jobs, j.ID)
	j.released = true
	for _, it := range j.items {
		if it.cancel != nil {
			it.cancel(errReleased)
		}
	}
	j.notify()
}

// settle repeats a submission whose answer was lost until its outcome is known.
func (r *Runner) settle(ctx context.Context, id string, j *job) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	items := make([]work.Item, 0, len(j.items))
	for _, it := range j.items {
		items = append(items, it.Item)
	}
	record := j.Job
	revision, err := r.log.Accept(ctx, &record, items)
	held := err == nil
	if fault.CodeOf(err) == fault.CodeConflict {
		var found *work.Job
		found, revision, err = r.log.Job(ctx, id)
		held = err == nil && found.Holder == r.name && found.Incarnation == r.incarnation
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	j.flushing = false
	if err != nil {
		j.retryAt = r.now().Add(retryPause)

		return
	}
	delete(r.unsettled, id)
	j.Parts = record.Parts
	j.revision = revision
	if held {
		r.jobs[id] = j
	}
	j.notify()
	r.logger.Info("job submission settled", "job", id, "held", held)
}

// close records that all items of a job are listed.
func (r *Runner) close(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	record, revision := j.Job, j.revision
	record.Finished = true
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
		j.Finished = true
		j.revision = revision
	default:
		j.retryAt = r.now().Add(retryPause)
		r.logger.Warn("job not closed", "job", j.ID, "error", err.Error())
	}
}

func (r *Runner) remove(ctx context.Context, j *work.Job, starts []int) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.log.Remove(ctx, j, starts)
	r.logger.Info("old job removed", "job", j.ID, "submitted_at", j.SubmittedAt, "error", text(err))
}
