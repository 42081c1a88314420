package jobrun

import (
	"context"
	"expvar"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/histogram"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

// submissions counts the submissions of jobs by outcome; acceptTimes are the times until they were accepted.
var (
	submissions = expvar.NewMap("JobSubmissions")
	acceptTimes = histogram.New("JobAcceptMillis")
)

// submission is a job whose objects are being written; its tokens count from before the writes.
type submission struct {
	route     string
	workspace string
	tokens    int
	// writers is the number of submissions of the job at this instance.
	writers int
}

// completedJob is a job that this instance has completed in the store while another one is its holder in the record, or is to become that.
type completedJob struct {
	route     string
	workspace string
	tokens    int
	until     time.Time
}

// completedLife is how long the tokens of a completed job count at most: its holder looks for the items every maxIncompletePause.
const completedLife = 2 * maxIncompletePause

// Submit accepts a job. It fails with code overloaded if the job's tokens exceed the route's limit, with store_unavailable if
// nothing was written, and with outcome_unknown if the job may have been accepted. It succeeds for a job that was accepted
// before; it asks the store only if no instance has announced the job as its own.
func (r *Runner) Submit(ctx context.Context, rt *route.Route, j work.Job, items []work.Item) error {
	began := r.now()
	err := r.submit(ctx, rt, j, items)
	if err == nil {
		submissions.Add("accepted", 1)
		acceptTimes.Record(r.now().Sub(began))
	} else {
		submissions.Add(string(fault.CodeOf(err)), 1)
	}

	return err
}

func (r *Runner) submit(ctx context.Context, rt *route.Route, j work.Job, items []work.Item) error {
	j.Holder = r.name
	j.Incarnation = r.incarnation
	j.Items = len(items)
	j.Route, j.Prefix = rt.Name, rt.Prefix
	if _, version := r.routes.Current(); version > 0 {
		j.RouteVersion = int(version)
	}
	announced := r.reader.Announced(j.ID)
	r.lock.Lock()
	held := r.jobs[j.ID] != nil
	_, open := r.unresolved[j.ID]
	key, pendingKey := waitingKeyOf(rt.Name, j.Workspace), pendingKeyOf(rt.Name, j.Workspace)
	own := r.waitingTokens(j.ID)
	tokens, peers := own[key], r.cluster.Waiting(key, r.now())
	pending := own[pendingKey] + r.cluster.Waiting(pendingKey, r.now())
	refused := r.exceeds(rt, tokens+peers, pending, j.Tokens) || r.stopping
	stopping := r.stopping
	j.SubmittedAt = r.firstSubmission(rt, &j, r.now())
	late := r.expectedLate(rt, &j, r.now())
	// One that is expected to be late is written only if the store does not say whether it is known.
	if !held && !announced && !open && !refused && late == nil {
		r.reserve(rt, &j)
	}
	r.lock.Unlock()
	if held || announced {
		err := r.check(ctx, j.ID, j.Workspace)
		r.logger.Info("job submitted again", "job", j.ID, "route", rt.Name, "workspace", j.Workspace, "held", held, "outcome", "accepted before",
			"error", errorText(err))

		return err
	}
	if open {
		if err := r.check(ctx, j.ID, j.Workspace); err != nil {
			return err
		}

		return fault.New(fault.CodeOutcomeUnknown, "the outcome of an earlier submission of the job is not known yet")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if refused {
		return r.refuse(ctx, rt, &j, tokens+peers, pending, stopping)
	}
	if late != nil {
		accepted, err := r.log.Accepted(purpose.With(ctx, "refusal"), j.ID)
		if accepted {
			if err := r.findHolder(ctx, j.ID, j.Workspace, true); err != nil {
				return err
			}
		}
		if err == nil {
			return r.refuseLate(&j, late, accepted)
		}
		r.lock.Lock()
		r.reserve(rt, &j)
		r.lock.Unlock()
	}
	n := newJob(j, items)
	began := r.now()
	err := r.accept(ctx, n, items)
	r.logger.Info("job submitted", "job", j.ID, "route", rt.Name, "workspace", j.Workspace, "items", j.Items, "tokens", j.Tokens, "waiting_own", tokens,
		"waiting_peers", peers, "parts", n.Parts, "accept_ms", r.now().Sub(began).Milliseconds(), "error", errorText(err))
	if fault.CodeOf(err) == fault.CodeConflict {
		return r.findHolder(ctx, j.ID, j.Workspace, true)
	}

	return err
}

// recordCompleted counts the tokens of a job that was written before, at least in part, until an instance announces that it holds the job;
// it needs the lock.
func (r *Runner) recordCompleted(j *work.Job) {
	delete(r.completed, j.ID)
	if rt := r.findRoute(j); rt != nil && !j.Finished && !r.counted(j.ID) {
		r.completed[j.ID] = completedJob{
			route:     rt.Name,
			workspace: j.Workspace,
			tokens:    j.Tokens,
			until:     r.now().Add(completedLife),
		}
	}
}

// accept writes a job, whose tokens are reserved, to the store and holds it from then on. If the outcome of the writes is unknown, it
// waits until they were repeated successfully or ctx ends.
func (r *Runner) accept(ctx context.Context, n *job, items []work.Item) error {
	defer r.unreserve(n.ID)
	began := r.now()
	revision, err := r.log.Accept(purpose.With(ctx, "submission"), &n.Job, items, n.written)
	n.revision = revision
	resolved := n.changed
	switch fault.CodeOf(err) {
	case "":
		r.lock.Lock()
		n.createdAt = began
		r.hold(n.ID, n)
		r.signal()
		r.lock.Unlock()
	case fault.CodeConflict:
		r.lock.Lock()
		r.recordCompleted(&n.Job)
		r.lock.Unlock()
	case fault.CodeOutcomeUnknown:
		r.lock.Lock()
		r.unresolved[n.ID] = n
		r.signal()
		r.lock.Unlock()
		select {
		case <-resolved:
			return nil
		case <-ctx.Done():
		}
	}

	return err
}

// findHolder announces a job that was submitted before if it has no holder: its record may have been written after jobs without a holder
// were last looked for. If the job is accepted, its tokens count here until an instance holds it. It fails with code not_found if the job is
// another workspace's.
func (r *Runner) findHolder(ctx context.Context, id, workspace string, accepted bool) error {
	record, revision, err := r.log.Job(purpose.With(ctx, "resubmission"), id)
	if err != nil {
		r.logger.Warn("holder of a job that was submitted again not read", "job", id, "error", err.Error())
		if workspace != "" {
			return fault.Wrap(err, fault.CodeOutcomeUnknown, "the workspace of the job that was submitted before is not known")
		}

		return nil
	}
	if accepted {
		r.lock.Lock()
		r.recordCompleted(record)
		r.lock.Unlock()
	}
	orphan := r.announceIfOrphan(record)
	r.logger.Info("holder of a job that was submitted again read", "job", id, "holder", record.Holder, "revision", revision, "orphan", orphan)
	if !work.Permits(record, workspace) {
		return work.ErrUnknown
	}

	return nil
}

// announceIfOrphan announces an unfinished job that has no holder and reports whether it did.
func (r *Runner) announceIfOrphan(record *work.Job) bool {
	if record.Finished || !r.orphan(record) {
		return false
	}
	r.announceOrphan(record, r.now())

	return true
}

// reserve counts the tokens of a job that is about to be written; it needs the lock.
func (r *Runner) reserve(rt *route.Route, j *work.Job) {
	s := r.submitting[j.ID]
	if s == nil {
		s = &submission{
			route:     rt.Name,
			workspace: j.Workspace,
			tokens:    j.Tokens,
		}
		r.submitting[j.ID] = s
	}
	s.writers++
}

// unreserve ends a reservation once the job is held, refused, or among those whose outcome is unknown.
func (r *Runner) unreserve(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.submitting[id]
	if s.writers--; s.writers == 0 {
		delete(r.submitting, id)
	}
}

// counted reports whether a job that is being written counts as one that this instance holds already; it needs the lock.
func (r *Runner) counted(id string) bool {
	return r.jobs[id] != nil || r.unresolved[id] != nil
}

// Refuse returns nil for a job that was accepted before, the reason for one that was not, and a failure if that is not known.
// A job of another workspace is not found.
func (r *Runner) Refuse(ctx context.Context, id, workspace string, reason error) error {
	if r.holds(id) || r.reader.Announced(id) {
		return r.check(ctx, id, workspace)
	}
	r.lock.Lock()
	_, open := r.unresolved[id]
	_, writing := r.submitting[id]
	r.lock.Unlock()
	if open || writing {
		return fault.New(fault.CodeOutcomeUnknown, "the outcome of an earlier submission of the job is not known yet")
	}
	accepted, err := r.log.Accepted(purpose.With(ctx, "refusal"), id)
	if accepted || fault.CodeOf(err) == fault.CodeOutcomeUnknown {
		// If the job is half-written by a lost process, its tokens count until an instance has looked for the items.
		if err := r.findHolder(ctx, id, workspace, accepted); err != nil {
			return err
		}
	}
	if err != nil {
		r.logger.Warn("job neither accepted nor refused", "job", id, "reason", reason.Error(), "error", err.Error())

		return err
	}
	if accepted {
		return nil
	}

	return reason
}

// refuse returns why a job is not accepted, or nil if it was accepted before.
func (r *Runner) refuse(ctx context.Context, rt *route.Route, j *work.Job, tokens, pending int, stopping bool) error {
	reason := fault.New(fault.CodeOverloaded, "the job's tokens exceed the limit of waiting tokens on its route")
	if stopping {
		reason = fault.New(fault.CodeNotRun, "the instance is stopping")
	}
	err := r.Refuse(ctx, j.ID, j.Workspace, reason)
	if fault.Caused(err, reason) {
		r.logger.Info("job refused", "job", j.ID, "route", rt.Name, "workspace", j.Workspace, "tokens", j.Tokens, "waiting", tokens, "pending", pending, "limit", rt.MaxTokens,
			"stopping", stopping)
	}

	return err
}

// workspaceMark separates the names of a route and a workspace in the keys of sums; headers cannot contain it.
const workspaceMark = "\x1f"

// waitingKeyOf returns the key of the waiting tokens of a route and a workspace, if the jobs have one.
func waitingKeyOf(route, workspace string) string {
	if workspace == "" {
		return route
	}

	return route + workspaceMark + workspace
}

// pendingKeyOf returns the key under which the waiting tokens of a route and a workspace contain once more those of jobs that are being
// written.
func pendingKeyOf(route, workspace string) string {
	return waitingKeyOf(route+"+", workspace)
}

// exceeds reports whether a job does not fit on a route beside the tokens that wait there, some of them in jobs that are being written.
// These may never be accepted, so they may exceed the limit by pendingRoom together with the job.
func (r *Runner) exceeds(rt *route.Route, waiting, pending, tokens int) bool {
	if rt.MaxTokens <= 0 {
		return false
	}
	room := int(r.pendingRoom * float64(rt.MaxTokens))

	return waiting-pending+tokens > rt.MaxTokens || waiting+tokens > rt.MaxTokens+room
}

// waitingTokens returns the tokens of all unfinished items by route and workspace, with those of jobs that are being written except for one that comes
// again. The latter stand there by pendingKeyOf as well. It needs the lock.
func (r *Runner) waitingTokens(except string) map[string]int {
	sum := map[string]int{}
	for _, jobs := range []map[string]*job{r.jobs, r.unresolved} {
		for _, j := range jobs {
			if key, ok := r.tokensKey(&j.Job, r.routeOf(j)); ok {
				sum[key] += j.waitingTokens()
			}
		}
	}
	for id, s := range r.submitting {
		if id != except && !r.counted(id) {
			sum[waitingKeyOf(s.route, s.workspace)] += s.tokens
			sum[pendingKeyOf(s.route, s.workspace)] += s.tokens
		}
	}
	for id, c := range r.completed {
		switch {
		case r.now().After(c.until):
			delete(r.completed, id)
		case id != except && !r.counted(id) && r.submitting[id] == nil:
			sum[waitingKeyOf(c.route, c.workspace)] += c.tokens
		}
	}

	return sum
}
