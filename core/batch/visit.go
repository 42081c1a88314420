package batch

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"tarragonwalk/core/claim"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

// pageLimit is the number of keys asked for in one listing.
const pageLimit = 1000

// visit claims one chunk of a job, or looks for the job's end and for claims to take over. Without claims it looks for
// the end only.
func (r *Runner) visit(ctx context.Context, w *work, claims bool) {
	if !w.loaded {
		loaded, err := r.load(ctx, w)
		if err != nil || !loaded {
			r.postpone(w, err)

			return
		}
	}
	r.mu.Lock()
	n := w.next(stateFree, claim.Offset(w.open.ID, r.name, len(w.chunks)))
	r.mu.Unlock()
	if n >= 0 && claims {
		if err := r.take(ctx, w, n, 1, 0); err != nil {
			r.postpone(w, err)
		}

		return
	}
	if err := r.revisit(ctx, w, claims); err != nil {
		r.postpone(w, err)
	}
}

// postpone delays the next visit after a failure.
func (r *Runner) postpone(w *work, err error) {
	if err != nil {
		r.log.Warn("visit a job", "job", w.open.ID, "error", err)
	}
	d := r.jitter(recordTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	w.visitAt = r.now().Add(d)
}

// load reads the record, the file and the claims and results of a job. It reports false if the job has no record yet,
// as it is not accepted before, or has ended.
func (r *Runner) load(ctx context.Context, w *work) (bool, error) {
	var j job.Job
	_, err := r.get(ctx, job.RecordKey(w.open.Workspace, w.open.ID), &j)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if j.State != job.JobStateOpen {
		w.stop()

		return false, r.removeOpen(ctx, w, j)
	}
	if _, err := r.get(ctx, job.FileKey(w.open.Workspace, w.open.File), &w.file); err != nil {
		return false, err
	}
	if len(w.file.Chunks) != len(w.chunks) {
		return false, fault.New(fault.CodeInternal, "the file's chunks differ from the job's")
	}
	if err := r.survey(ctx, w); err != nil {
		return false, err
	}
	w.loaded = true

	return true, nil
}

// survey lists the claims and results of a job.
func (r *Runner) survey(ctx context.Context, w *work) error {
	for _, l := range []struct {
		prefix string
		state  state
	}{
		{
			prefix: job.ClaimsPrefix(w.open.ID),
			state:  stateTaken,
		},
		{
			prefix: job.ResultsPrefix(w.open.ID),
			state:  stateDone,
		},
	} {
		after := ""
		for {
			entries, _, err := r.objects.List(ctx, l.prefix, after, pageLimit)
			if err != nil {
				return err
			}
			r.mu.Lock()
			for _, e := range entries {
				n, err := strconv.Atoi(strings.TrimPrefix(e.Key, l.prefix))
				// A held chunk changes its state when its own run ends.
				if err == nil && n >= 0 && n < len(w.chunks) && w.chunks[n] != stateHeld {
					w.chunks[n] = max(w.chunks[n], l.state)
					w.list(n, l.state, int64(e.Version))
				}
			}
			r.mu.Unlock()
			if len(entries) < pageLimit {
				break
			}
			after = entries[len(entries)-1].Key
		}
	}

	return nil
}

// revisit ends a job whose chunks are all published, or takes over the first claim that allows it.
func (r *Runner) revisit(ctx context.Context, w *work, claims bool) error {
	if err := r.survey(ctx, w); err != nil {
		return err
	}
	r.mu.Lock()
	remaining := w.remaining()
	var taken []int
	for n, s := range w.chunks {
		if s == stateTaken {
			taken = append(taken, n)
		}
	}
	w.check = false
	if claims {
		w.delay(r.now(), visitPause(len(r.jobs)))
	}
	r.mu.Unlock()
	if remaining == 0 {
		return r.end(ctx, w)
	}
	if !claims {
		return nil
	}
	for _, n := range taken {
		took, err := r.takeOver(ctx, w, n)
		if err != nil {
			return err
		}
		if took {
			// There may be more claims of the same holder.
			r.mu.Lock()
			w.visitAt = r.now()
			r.mu.Unlock()

			return nil
		}
	}

	return nil
}

// takeOver takes a claim whose holder is gone, or an own claim that is not held.
func (r *Runner) takeOver(ctx context.Context, w *work, n int) (bool, error) {
	seen, err := r.claim(ctx, w, n)
	if err != nil || r.renewing(seen, r.now()) {
		return false, err
	}
	c, version := seen.claim, seen.version
	// The holder renews its session before it claims, so only a session that is read after the claim may condemn it.
	if c.Holder != r.name && !c.Released && (r.watcher.Due(c.Holder, r.now()) || r.watcher.MayTake(c)) {
		// The time is taken before the read, and an unchanged session counts from its first read on.
		at := r.now()
		var s job.Session
		_, err := r.get(ctx, job.SessionKey(c.Holder), &s)
		switch fault.CodeOf(err) {
		case "":
			r.watcher.Observe(c.Holder, &s, at)
		case fault.CodeNotFound:
			r.watcher.Observe(c.Holder, nil, at)
		default:
			return false, err
		}
	}
	// An own claim that is not held is from an earlier incarnation or from a write whose answer was lost; it needs no
	// observation. The new attempt keeps its parts apart from any that were written before.
	if c.Holder != r.name && !r.watcher.MayTake(c) {
		return false, nil
	}

	return true, r.take(ctx, w, n, c.Attempt+1, version)
}

// claim returns the claim of a chunk and reads it if the listing shows another version than the known one.
func (r *Runner) claim(ctx context.Context, w *work, n int) (claimSeen, error) {
	r.mu.Lock()
	c, ok := w.claims[n]
	if ok && c.version == w.versions[n] {
		c.visits++
		w.claims[n] = c
		r.mu.Unlock()

		return c, nil
	}
	r.mu.Unlock()
	c = claimSeen{}
	var err error
	if c.version, err = r.get(ctx, job.ClaimKey(w.open.ID, n), &c.claim); err != nil {
		return c, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.claims[n] = c

	return c, nil
}

// take writes the claim of a chunk over the given version and starts the chunk; a lost race marks it as taken.
func (r *Runner) take(ctx context.Context, w *work, n, attempt int, over int64) error {
	if err := r.session.ensure(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(job.Claim{
		Holder:      r.name,
		Incarnation: r.incarnation,
		Attempt:     attempt,
	})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "encode a claim")
	}
	version, err := r.objects.Put(ctx, job.ClaimKey(w.open.ID, n), value, over)
	switch fault.CodeOf(err) {
	case "":
		r.start(ctx, w, n, attempt, version)

		return nil
	case fault.CodeConflict, fault.CodeOutcomeUnknown:
		// After a lost answer the next visit without free chunks finds whether the claim is this runner's.
		r.mu.Lock()
		defer r.mu.Unlock()
		w.chunks[n] = stateTaken
		w.visitAt = r.now()

		return nil
	default:
		return err
	}
}

// get reads and decodes a record.
func (r *Runner) get(ctx context.Context, key string, into any) (int64, error) {
	value, version, err := r.objects.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(value, into); err != nil {
		return 0, fault.Wrap(err, fault.CodeInternal, "decode "+key)
	}

	return version, nil
}
