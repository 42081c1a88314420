package jobrun

import (
	"context"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/work"
)

// maxAnswerAge is how old the knowledge may be from which a read is answered that finds nothing. Callers rely on results that were returned to
// others a second ago.
const maxAnswerAge = 600 * time.Millisecond

var errUnverified = fault.New(fault.CodeStoreUnavailable, "the store does not say whether there are further results")

// Read returns the results of a job from a position on and waits for one until the given time. It fails with code not_found
// if there is no such job or it is another workspace's, and with store_unavailable if that cannot be determined. What is known when the wait ends can be passed on much
// later, by a process that gets no processor time or whose answer of the holder is on its way for long; others may have returned a result
// by then, so that it is looked for again.
func (r *Runner) Read(ctx context.Context, id, workspace string, after int, until time.Time) (jobpage.Page, error) {
	for {
		knownAt := r.now()
		if until.After(knownAt) {
			knownAt = until
		}
		page, err := r.read(ctx, id, workspace, after, until)
		at := r.now()
		nothing := err == nil && len(page.Results) == 0 && after < page.Total || fault.CodeOf(err) == fault.CodeNotFound
		if !nothing || at.Sub(knownAt) <= maxAnswerAge {
			return page, err
		}
		r.logger.Info("outdated answer of a read dropped", "job", id, "after", after, "age_ms", at.Sub(knownAt).Milliseconds())
		if ctx.Err() != nil {
			return jobpage.Page{}, errUnverified
		}
		until = at
	}
}

// read is Read without regard to the age of the answer. A result that this instance has returned before is read from the store if the job's
// holder does not know it: there may be two holders that do not know of each other.
func (r *Runner) read(ctx context.Context, id, workspace string, after int, until time.Time) (jobpage.Page, error) {
	returned := r.returned.Position(id)
	exists := returned > after
	if exists {
		until = r.now()
		r.doubt(id, returned)
	}
	page, held, err := r.ReadHeldResults(ctx, id, workspace, after, until)
	if !held && ctx.Err() != nil {
		return jobpage.Page{}, ctx.Err()
	}
	if !held {
		page, err = r.reader.Read(ctx, id, workspace, after, until)
	}
	if err == nil && exists && len(page.Results) == 0 {
		page, err = r.reader.ReadStore(ctx, id, after)
	}
	if err == nil && len(page.Results) > 0 {
		r.returned.Record(id, page.Next)
	}

	return page, err
}

// doubt makes this instance ask the store who holds a job, if it is the holder and knows fewer results than were returned to callers.
func (r *Runner) doubt(id string, returned int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	j := r.jobs[id]
	if j == nil || len(j.results) >= returned {
		return
	}
	r.doubtHolder(j, returned)
}

// doubtHolder is called when a number of results of a job is known to have been returned that this instance, the holder, does not know. It
// needs the lock.
func (r *Runner) doubtHolder(j *job, returned int) {
	if !j.contested {
		r.logger.Warn("results returned that the holder does not know", "job", j.ID, "listed", len(j.results), "returned", returned, "revision", j.revision)
	}
	j.contest()
	j.expectOthers(r.now())
}

// ReadHeldResults is Read for a job that this instance holds; it returns false if it does not, if that cannot be determined, or
// if ctx has ended. With true and code store_unavailable, this instance holds the job but cannot tell whether it has the result; with code
// not_found, the job is another workspace's.
func (r *Runner) ReadHeldResults(ctx context.Context, id, workspace string, after int, until time.Time) (jobpage.Page, bool, error) {
	for {
		r.lock.Lock()
		j := r.jobs[id]
		if j == nil {
			r.lock.Unlock()

			return jobpage.Page{}, false, nil
		}
		if !work.Permits(&j.Job, workspace) {
			r.lock.Unlock()

			return jobpage.Page{}, true, work.ErrUnknown
		}
		total, results, changed := j.Items, j.results, j.changed
		if at := r.now(); len(results) < min(after, total) && at.Sub(j.verifiedAt) >= verifyInterval {
			// The caller was told that position by another holder, or made it up.
			r.doubtHolder(j, after)
			until = at
		}
		r.lock.Unlock()
		wait := until.Sub(r.now())
		if len(results) > after || len(results) >= total {
			r.logRead(j, after, len(results), "memory")

			return jobpage.Cut(total, results, after), true, nil
		}
		if wait <= 0 {
			return r.readVerified(ctx, j, after)
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return jobpage.Page{}, false, nil
		}
	}
}

// readVerified answers a read for which there is no result in memory. If the store may have results that this instance does not know, it
// reads them first. It returns false if another instance may hold the job, and an error if a write of this instance may have taken
// effect and the store does not answer.
func (r *Runner) readVerified(ctx context.Context, j *job, after int) (jobpage.Page, bool, error) {
	source := "memory"
	at := r.now()
	r.lock.Lock()
	doubted := j.doubtedBy != "" || j.releasing
	unacknowledged := j.unacknowledged > 0
	maybeReplaced := doubted || j.contested || r.cluster.SuspectedSince(later(j.verifiedAt, j.createdAt), at)
	// After a takeover a write of the previous holder may still take effect, but the holder need not be checked. The last read of the
	// store has to follow the end of that time, since nothing else shows a write that took effect shortly before it.
	lateWrites := j.unfenced || j.verifiedAt.Before(j.lateWritesUntil)
	recent := at.Sub(j.verifiedAt) < verifyInterval
	r.lock.Unlock()
	if doubted || (maybeReplaced || lateWrites || unacknowledged) && !recent {
		held, err := r.verify(ctx, j, after, maybeReplaced)
		switch {
		case err != nil && unacknowledged && !maybeReplaced:
			return jobpage.Page{}, true, err
		case err != nil || !held:
			return jobpage.Page{}, false, nil //nolint:nilerr // the caller reads the store itself
		}
		source = "store"
	}
	r.lock.Lock()
	listed := len(j.results)
	page := jobpage.Cut(j.Items, j.results, after)
	r.lock.Unlock()
	r.logRead(j, after, listed, source)

	return page, true, nil
}

// verify reads the results behind those in memory, and before that, if another instance may have replaced this one, who holds the job.
// After a failure it does not ask the store again for verifyInterval.
func (r *Runner) verify(ctx context.Context, j *job, after int, maybeReplaced bool) (held bool, err error) {
	ctx = purpose.With(ctx, "read by holder")
	at := r.now()
	r.lock.Lock()
	quiet := at.Before(j.unverifiableUntil)
	r.lock.Unlock()
	if quiet {
		return false, errUnverified
	}
	held, complete := true, false
	if maybeReplaced {
		// A new holder lists further results later even if the store has none yet.
		held, err = r.checkHolder(ctx, j)
	}
	if err == nil && held {
		complete, err = r.readListed(ctx, j, after)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case err != nil:
		j.unverifiableUntil = r.now().Add(verifyInterval)

		return false, fault.Wrap(err, fault.CodeStoreUnavailable, errUnverified.Error())
	case complete:
		j.verifiedAt = at
	}

	return held, nil
}

// readListed reads from the store what is listed of a job behind the results in memory, until there is a result at position after. It
// reports whether nothing is listed behind that.
func (r *Runner) readListed(ctx context.Context, j *job, after int) (complete bool, err error) {
	for {
		r.lock.Lock()
		position := len(j.results)
		r.lock.Unlock()
		if position > after {
			return position >= j.Items, nil
		}
		found, err := r.log.Segment(ctx, j.ID, position)
		if err != nil || len(found) == 0 {
			return err == nil, err
		}
		r.lock.Lock()
		j.list(position, found)
		// They may be of a predecessor, but also of a successor that this instance does not know of.
		j.contest()
		r.lock.Unlock()
	}
}

// logRead logs from where a read of a job that this instance holds was answered. Reads from the start that find nothing are left
// out: a caller that waits for the first result repeats them.
func (r *Runner) logRead(j *job, after, listed int, source string) {
	if after == 0 && listed == 0 {
		return
	}
	r.lock.Lock()
	unacknowledged := j.unacknowledged
	pending, revision, heldAt, verifiedAt := len(j.pending), j.revision, j.heldAt, j.verifiedAt
	r.lock.Unlock()
	r.logger.Info("held results read", "job", j.ID, "after", after, "listed", listed, "source", source, "pending", pending,
		"unacknowledged", unacknowledged, "revision", revision, "held_at", heldAt, "verified_at", verifiedAt)
}

// Body returns the body of an item that is not listed yet; false if there is no such item. It fails with code not_found if there is no such
// job or it is another workspace's.
func (r *Runner) Body(ctx context.Context, id, workspace, name string) ([]byte, bool, error) {
	body, _, err := r.HeldBody(id, workspace, name)
	if err != nil || body != nil {
		return body, err == nil, err
	}

	return r.reader.Body(ctx, id, workspace, name)
}

// HeldBody is Body for a job that this instance holds; held is false if it does not, and the body is nil if there is no such item or it is
// listed.
func (r *Runner) HeldBody(id, workspace, name string) (body []byte, held bool, err error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	j := r.jobs[id]
	if j == nil {
		return nil, false, nil
	}
	if !work.Permits(&j.Job, workspace) {
		return nil, true, work.ErrUnknown
	}
	for _, it := range j.items {
		if it.ID == name && it.Body != nil {
			return it.Body, true, nil
		}
	}

	return nil, true, nil
}

// check fails with code not_found if a job is known to be another workspace's, or, where callers need a key, if there is no such job. It
// asks the store only if no instance says that it holds the job.
func (r *Runner) check(ctx context.Context, id, workspace string) error {
	if workspace == "" {
		return nil
	}
	r.lock.Lock()
	j := r.jobs[id]
	if j == nil {
		j = r.unresolved[id]
	}
	r.lock.Unlock()
	if j == nil {
		return r.reader.Check(ctx, id, workspace)
	}
	if !work.Permits(&j.Job, workspace) {
		return work.ErrUnknown
	}

	return nil
}
