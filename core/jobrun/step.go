package jobrun

import (
	"context"
	"slices"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

const (
	// shortListDelay is how long results wait for others, so that those that finish close together take one write;
	// longListDelay is the same for jobs that are not due soon or are late already. The longer the delay, the more items run
	// again after a crash.
	shortListDelay = 300 * time.Millisecond
	longListDelay  = time.Second
	// slowListDelay is the delay for a job that is not due soon and has fewer than batchResults results to list. The latter bounds how many
	// items of a job run again after a crash because their results waited for longer than longListDelay.
	slowListDelay = 3 * time.Second
	batchResults  = 4
	// dueSoon is how long before a job's deadline its results are listed after shortListDelay instead of longListDelay.
	dueSoon = 4 * time.Second
	// writeTimeout bounds one write of results, including the wait for other writes of this instance.
	writeTimeout = 5 * time.Second
	// segmentBytes bounds the texts of the results that are listed in one write; a longer result is listed alone.
	segmentBytes = 32 << 10
	// urgentBefore is how long before a job's deadline its items may also use the slots that are otherwise left free for online
	// requests: twice the time that an item of ordinary length takes.
	urgentBefore = 12 * time.Second
	// lateRatio is the time that a waiting item is expected to take, in times of the usual time, when it is decided whether it can
	// still be in time: some of its runs are preempted.
	lateRatio = 1.2
	// maxResolvePause bounds the pause between repetitions of a submission whose outcome is unknown; the first one is retryPause.
	maxResolvePause = 2 * time.Second
	// retryPause is the pause after a failed write.
	retryPause = 250 * time.Millisecond
)

// candidate is an item with the deadline of its job.
type candidate struct {
	job   *job
	item  *item
	route *route.Route
	due   time.Time
	// late is set if the item can no longer meet the deadline.
	late bool
	// trial is the quarantined part, or combination, in whose trial the item may run, empty if none of its parts is quarantined.
	trial string
}

// compareCandidates orders items by deadline, late ones after all others: under overload, running late items first would make
// every item a little late.
func compareCandidates(a, b candidate) int {
	if a.late != b.late {
		if a.late {
			return 1
		}

		return -1
	}

	return a.due.Compare(b.due)
}

// step starts items and takeovers, lists results, closes, releases or removes jobs, and repeats submissions whose outcome is
// unknown.
func (r *Runner) step(ctx context.Context) {
	r.lock.Lock()
	defer r.lock.Unlock()
	at := r.now()
	if at.Sub(r.observedAt) >= observeInterval {
		r.observeProgress(at)
	}
	if r.stopping {
		// Others are to try the items that wait here.
		r.parts.RecordWaiting(nil)
	} else {
		r.start(ctx, at)
		r.takeOverOrphans(ctx, at)
	}
	r.watchWaits(at)
	for id, j := range r.jobs {
		switch {
		case j.flushing || at.Before(j.retryAt):
		case j.doubtedBy != "" || j.checkDue(at):
			j.flushing = true
			r.tasks.Go(func() { r.confirm(ctx, j) })
		case len(j.pending) > 0 && (at.Sub(j.pendingSince) >= r.listDelay(j, at) || len(j.pending)+len(j.results) >= j.Items):
			j.flushing = true
			pending := firstSegment(j.pending)
			position := len(j.results)
			r.tasks.Go(func() { r.write(ctx, j, position, pending) })
		case !r.stopping && j.hasUnrecorded():
			j.flushing = true
			r.tasks.Go(func() { r.recordFailures(ctx, j) })
		case j.complete() && !j.Finished:
			j.flushing = true
			r.tasks.Go(func() { r.close(ctx, j) })
		case r.stopping && j.runningItems() == 0 && len(j.pending) == 0:
			j.flushing = true
			r.tasks.Go(func() { r.release(ctx, j) })
		case (j.Finished || j.ended) && r.expired(&j.Job, at):
			delete(r.jobs, id)
			r.tasks.Go(func() { r.remove(ctx, &j.Job, j.starts) })
		}
	}
	for id, j := range r.unresolved {
		if !j.flushing && !at.Before(j.retryAt) {
			j.flushing = true
			r.tasks.Go(func() { r.resolveSubmission(ctx, id, j) })
		}
	}
}

// firstSegment returns the first results of a list that fit into one write, at least one.
func firstSegment(pending []work.Result) []work.Result {
	size := 0
	for n, p := range pending {
		size += len(p.Text)
		if n > 0 && size > segmentBytes {
			return slices.Clone(pending[:n])
		}
	}

	return slices.Clone(pending)
}

// listDelay returns how long pending results of a job wait for others to be listed in the same write; it needs the lock.
func (r *Runner) listDelay(j *job, at time.Time) time.Duration {
	rt := r.routeOf(j)
	if j.Takeovers > 0 && j.givesUp() {
		return 0
	}
	if rt == nil || r.stopping {
		return shortListDelay
	}
	switch left := j.due(rt).Sub(at); {
	case left > dueSoon && len(j.pending) < batchResults:
		return slowListDelay
	case left > dueSoon, left < -longListDelay:
		return longListDelay
	default:
		return shortListDelay
	}
}

// start runs waiting items on free slots.
func (r *Runner) start(ctx context.Context, at time.Time) {
	list := r.candidates(at)
	slices.SortStableFunc(list, compareCandidates)
	rotateTrials(list)
	r.queued, r.queuedLate = 0, 0
	clear(r.queuedOf)
	full := map[string]bool{}
	for _, c := range list {
		service := c.route.Service(r.placer.RandomPoint())
		if s, release, ok := r.joinTrial(c, at); ok {
			r.run(ctx, c, s, release, at)

			continue
		}
		if c.trial != "" && !r.mayBeginTrial(c, at) {
			continue
		}
		if full[service] {
			r.countQueued(c)

			continue
		}
		urgent := c.due.Sub(at) < urgentBefore
		s, release, ok := r.placer.Batch(service, urgent, c.late, at)
		if !ok {
			full[service] = true
			r.countQueued(c)

			continue
		}
		r.waits.grantedAt[service] = at
		if c.trial != "" {
			r.beginTrial(c, service, s, at)
		}
		r.run(ctx, c, s, release, at)
	}
}

// run starts an item on a server; it needs the lock.
func (r *Runner) run(ctx context.Context, c candidate, s backend.Server, release func(), at time.Time) {
	run, cancel := context.WithCancelCause(ctx)
	c.item.state = running
	c.item.server = s.ID
	c.item.routeName = c.route.Name
	c.item.startedAt, c.item.progressAt = at, at
	c.item.firstAt = time.Time{}
	c.item.cancel = cancel
	r.tasks.Go(func() {
		defer release()
		defer cancel(nil)
		r.runItem(run, c.job, c.item, c.route, s)
	})
}

// countQueued counts an item that found no free slot; it needs the lock.
func (r *Runner) countQueued(c candidate) {
	if c.late {
		r.queuedLate++
	} else {
		r.queued++
		r.queuedOf[c.route.Name]++
	}
}

// candidates returns the waiting items and gives up those that have no route any more or are too old.
func (r *Runner) candidates(at time.Time) []candidate {
	table, _ := r.routes.Current()
	if table == nil {
		return nil
	}
	var list []candidate
	held := map[string]int{}
	isolated := r.cluster.Isolated()
	for _, j := range r.jobs {
		if j.ended || j.released || j.mustCheck(isolated, at) {
			continue
		}
		rt := r.routeOf(j)
		for _, it := range j.items {
			switch {
			case it.state != waiting || at.Before(it.notBefore) || it.unrecorded:
			case rt == nil && olderThanJob(table, &j.Job):
				// This instance does not know the job's route yet.
			case rt == nil:
				r.logger.Info("item given up", "job", j.ID, "item", it.ID, "cause", "the route was removed", "version", table.Version)
				givenUp.Add("route_removed", 1)
				j.finish(it, work.StateDead, at)
			case rt.AbandonMillis > 0 && at.Sub(j.SubmittedAt) > time.Duration(rt.AbandonMillis)*time.Millisecond+maxClockSkew:
				r.logger.Info("item given up", "job", j.ID, "item", it.ID, "cause", "too old", "submitted_at", j.SubmittedAt)
				givenUp.Add("too_old", 1)
				j.finish(it, work.StateDead, at)
			default:
				due := j.due(rt)
				c := candidate{
					job:   j,
					item:  it,
					route: rt,
					due:   due,
					late:  r.late(it, due, at),
					trial: r.quarantined(j, it),
				}
				if c.trial != "" {
					held[c.trial]++
				}
				if c.trial == "" || r.parts.TrialDue(it.parts) {
					list = append(list, c)
				}
			}
		}
	}
	r.parts.RecordWaiting(held)

	return list
}

// quarantined returns the prompt part, or combination of parts, for which an item has to wait because it crashes backend servers, empty if
// there is none; it needs the lock.
func (r *Runner) quarantined(j *job, it *item) string {
	if !it.partsRead {
		it.parts, it.partsRead = r.sharedParts(it.Headers), true
	}
	part, until, held := r.parts.Quarantined(it.parts)
	if held && !it.held {
		r.parts.RecordRefusal("item_held")
		r.logger.Info("item held", "job", j.ID, "item", it.ID, "cause", "a prompt part is quarantined", "part", part, "until", until)
	}
	it.held = held

	return part
}

// late reports whether an item is not expected to meet its deadline. Such items run when no others wait.
func (r *Runner) late(it *item, due, at time.Time) bool {
	return at.Add(time.Duration(lateRatio * float64(r.runTime.remaining(it.last)))).After(due)
}
