package jobrun

import (
	"expvar"
	"log/slog"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

const (
	// observeInterval is how often the progress of the fleet is observed, beside each submission.
	observeInterval = 200 * time.Millisecond
	// lateMargin is how many times the time that a job has left it must be expected to take before it is refused.
	lateMargin = 2
	// refusalLife is how long a refused job is remembered at least, maxRefused the largest number of them.
	refusalLife = 30 * time.Second
	maxRefused  = 4096
	// minRetryAfter is the least time after which a refused job is worth another submission.
	minRetryAfter = time.Second
)

// lateRefusals counts the jobs that were found not to be feasible by outcome: refused, or known as accepted before.
var lateRefusals = expvar.NewMap("JobsExpectedLate")

// lateJob says why a job is not expected to be completed in time.
type lateJob struct {
	due        time.Time
	completion time.Time
	retryAt    time.Time
	inputs     slog.Attr
}

// progress returns the progress of this instance's own items by route; it needs the lock. Items that wait for the end of a quarantine
// take no slot from others.
func (r *Runner) progress(at time.Time) map[string]gossip.BatchProgress {
	total := map[string]gossip.BatchProgress{}
	for name, events := range r.received.Total(at) {
		total[name] = gossip.BatchProgress{
			Queued: r.queuedOf[name],
			Events: events,
		}
	}
	remaining := map[string]float64{}
	for _, j := range r.jobs {
		rt := r.routeOf(j)
		if rt == nil || j.ended || j.released || j.Finished {
			continue
		}
		due := j.due(rt)
		for _, it := range j.items {
			if it.state != done && !it.held && !r.late(it, due, at) {
				remaining[rt.Name] += r.runTime.remainingEvents(it.last)
			}
		}
	}
	for name, events := range remaining {
		p := total[name]
		p.Remaining, p.Queued = int(events), r.queuedOf[name]
		total[name] = p
	}

	return total
}

// observeProgress lets the estimator observe the progress of the fleet, this instance included; it needs the lock.
func (r *Runner) observeProgress(at time.Time) {
	fleet, complete := r.cluster.Progress(at)
	gossip.AddProgress(fleet, r.progress(at))
	r.estimator.Observe(fleet, complete, at)
	r.observedAt = at
}

// expectedLate returns why a job of a route cannot be expected to be completed in time beside those that are accepted, nil if it can or
// nothing is known; it needs the lock.
func (r *Runner) expectedLate(rt *route.Route, j *work.Job, at time.Time) *lateJob {
	if rt.CompletionMillis <= 0 {
		return nil
	}
	r.observeProgress(at)
	completion, known := r.estimator.Completion(rt.Name, int(float64(j.Items)*r.runTime.remainingEvents(0)), at)
	allowed := time.Duration(rt.CompletionMillis) * time.Millisecond
	due := j.SubmittedAt.Add(allowed)
	latest := at.Add(time.Duration(lateMargin * float64(due.Sub(at))))
	if !known || !completion.After(latest) {
		return nil
	}

	return &lateJob{
		due:        due,
		completion: completion,
		retryAt:    later(completion.Add(-time.Duration(lateMargin*float64(allowed))), at.Add(minRetryAfter)),
		inputs:     r.estimator.Inputs(rt.Name, at),
	}
}

// refuseLate returns the refusal of a job that cannot be completed in time, nil if it was accepted before.
func (r *Runner) refuseLate(j *work.Job, l *lateJob, accepted bool) error {
	outcome := "refused"
	if accepted {
		outcome = "accepted_before"
	}
	lateRefusals.Add(outcome, 1)
	r.logger.Info("job cannot be completed in time", "job", j.ID, "items", j.Items, "outcome", outcome, "due", l.due, "completion", l.completion,
		"retry_at", l.retryAt, l.inputs)
	if accepted {
		return nil
	}
	r.recordRefusal(j)
	err := fault.New(fault.CodeOverloaded, "the job cannot be completed in time beside those that are accepted")
	err.RetryAt = l.retryAt

	return err
}

// firstSubmission returns when a job was first submitted. A job that was refused and whose first deadline has passed counts as a new
// one; it needs the lock.
func (r *Runner) firstSubmission(rt *route.Route, j *work.Job, at time.Time) time.Time {
	since, ok := r.refused[j.ID]
	if !ok || !since.Before(j.SubmittedAt) {
		return j.SubmittedAt
	}
	if at.Sub(since) > time.Duration(rt.CompletionMillis)*time.Millisecond {
		delete(r.refused, j.ID)
		delete(r.refusedHere, j.ID)

		return j.SubmittedAt
	}

	return since.UTC()
}

// recordRefusal remembers when a refused job was first submitted, so that its deadline does not move when it comes again.
func (r *Runner) recordRefusal(j *work.Job) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.remember(j.ID, j.SubmittedAt)
	r.refusedHere[j.ID] = r.now().Add(announcementTTL)
}

// ObserveRefusal records that another instance has refused a job that was first submitted at a time.
func (r *Runner) ObserveRefusal(id string, submittedAt time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.remember(id, submittedAt)
}

// remember keeps the earliest known submission of a refused job; it needs the lock.
func (r *Runner) remember(id string, submittedAt time.Time) {
	if known, ok := r.refused[id]; ok && !submittedAt.Before(known) {
		return
	}
	at := r.now()
	if len(r.refused) >= maxRefused {
		for other, since := range r.refused {
			if at.Sub(since) > refusalLife {
				delete(r.refused, other)
			}
		}
	}
	if len(r.refused) < maxRefused {
		r.refused[id] = submittedAt
	}
}

// announcedRefusals returns some of the jobs that this instance refused lately; it needs the lock.
func (r *Runner) announcedRefusals(at time.Time) []gossip.RefusedJob {
	var list []gossip.RefusedJob
	for _, id := range someOf(dropExpired(r.refusedHere, at), r.heartbeats) {
		if since, ok := r.refused[id]; ok {
			list = append(list, gossip.RefusedJob{
				Job:       id,
				AgeMillis: gossip.Age(since, at),
			})
		}
	}

	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
