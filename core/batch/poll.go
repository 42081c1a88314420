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

// pageLimit is the number of keys requested in one listing.
const pageLimit = 1000

// poll claims a free chunk of a job or, if there is none, ends the job or takes a claim over. Without mayClaim it only ends the
// job, if all its chunks are published.
func (r *Runner) poll(ctx context.Context, w *knownJob, mayClaim bool) {
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
	if n >= 0 && mayClaim {
		if err := r.claimChunk(ctx, w, n, 1, 0); err != nil {
			r.postpone(w, err)
		}

		return
	}
	if err := r.pollClaimed(ctx, w, mayClaim); err != nil {
		r.postpone(w, err)
	}
}

// postpone delays the next poll after a failure.
func (r *Runner) postpone(w *knownJob, err error) {
	if err != nil {
		r.log.Warn("cannot poll the job", "job", w.open.ID, "error", err)
	}
	d := r.jitter(recordTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	w.pollAt = r.now().Add(d)
}

// load reads the record and the file of a job and lists its claims and results. It returns false if the job has ended, or has
// no record and so is not accepted yet.
func (r *Runner) load(ctx context.Context, w *knownJob) (bool, error) {
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
		return false, fault.New(fault.CodeInternal, "the file and the job have different numbers of chunks")
	}
	if err := r.listChunks(ctx, w); err != nil {
		return false, err
	}
	w.loaded = true

	return true, nil
}

// listChunks updates the states of a job's chunks from the claims and results in the store.
func (r *Runner) listChunks(ctx context.Context, w *knownJob) error {
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
				// The state of a held chunk changes when its run ends.
				if err == nil && n >= 0 && n < len(w.chunks) && w.chunks[n] != stateHeld {
					w.chunks[n] = max(w.chunks[n], l.state)
					w.recordListed(n, l.state, int64(e.Version))
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

// pollClaimed polls a job without free chunks: it ends the job if all chunks are published and otherwise takes over the first
// claim for which that is allowed. Without mayClaim it takes none over.
func (r *Runner) pollClaimed(ctx context.Context, w *knownJob, mayClaim bool) error {
	if err := r.listChunks(ctx, w); err != nil {
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
	if mayClaim {
		w.delay(r.now(), pollIntervalLimit(len(r.jobs)))
	}
	r.mu.Unlock()
	if remaining == 0 {
		return r.end(ctx, w)
	}
	if !mayClaim {
		return nil
	}
	for _, n := range taken {
		took, err := r.takeOver(ctx, w, n)
		if err != nil {
			return err
		}
		if took {
			// The holder may have more claims, so the job is polled again at once.
			r.mu.Lock()
			w.pollAt = r.now()
			r.mu.Unlock()

			return nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.awaitsHandover(taken) {
		w.pollAt = r.now().Add(handoverPollInterval)
		w.pause = minPollInterval
	}

	return nil
}

// takeOver claims a chunk whose holder is gone, or one with a claim of this instance that it does not hold.
func (r *Runner) takeOver(ctx context.Context, w *knownJob, n int) (bool, error) {
	seen, err := r.readClaim(ctx, w, n)
	if err != nil || !seen.claim.Released && r.holderRenews(seen, r.now()) {
		return false, err
	}
	c, version := seen.claim, seen.version
	// A holder renews its session before it claims, so only a session that is read after the claim can prove the holder gone.
	if c.Holder != r.name && !c.Released && (r.tracker.NeedsRead(c.Holder, r.now()) || r.tracker.MayTakeOver(c)) {
		// The time is taken before the read. A session counts as unchanged from its first read on.
		at := r.now()
		var s job.Session
		_, err := r.get(ctx, job.SessionKey(c.Holder), &s)
		switch fault.CodeOf(err) {
		case "":
			r.tracker.Observe(c.Holder, &s, at)
		case fault.CodeNotFound:
			r.tracker.Observe(c.Holder, nil, at)
		default:
			return false, err
		}
	}
	// A claim of this instance that it does not hold is from an earlier incarnation or from a write whose answer was lost, so
	// that the session need not be checked. The higher attempt number keeps the new parts apart from those written before.
	if c.Holder != r.name && !r.tracker.MayTakeOver(c) {
		return false, nil
	}

	return true, r.claimChunk(ctx, w, n, c.Attempt+1, version)
}

// readClaim returns the claim of a chunk. It reads the claim only if the version in the last listing differs from the known one.
func (r *Runner) readClaim(ctx context.Context, w *knownJob, n int) (knownClaim, error) {
	r.mu.Lock()
	c, ok := w.claims[n]
	if ok && c.version == w.versions[n] {
		c.polls++
		w.claims[n] = c
		r.mu.Unlock()

		return c, nil
	}
	r.mu.Unlock()
	c = knownClaim{}
	var err error
	if c.version, err = r.get(ctx, job.ClaimKey(w.open.ID, n), &c.claim); err != nil {
		return c, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.claims[n] = c

	return c, nil
}

// claimChunk claims a chunk by replacing the given version of its claim, and starts the chunk. A chunk that another instance
// has claimed first is marked as taken.
func (r *Runner) claimChunk(ctx context.Context, w *knownJob, n, attempt int, over int64) error {
	if err := r.session.ensure(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(job.Claim{
		Holder:      r.name,
		Incarnation: r.incarnation,
		Attempt:     attempt,
	})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode a claim")
	}
	version, err := r.objects.Put(ctx, job.ClaimKey(w.open.ID, n), value, over)
	switch fault.CodeOf(err) {
	case "":
		r.start(ctx, w, n, attempt, version)

		return nil
	case fault.CodeConflict, fault.CodeOutcomeUnknown:
		// After a lost answer, a later poll without free chunks finds out whether the claim is this instance's.
		r.mu.Lock()
		defer r.mu.Unlock()
		w.chunks[n] = stateTaken
		w.pollAt = r.now()

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
		return 0, fault.Wrap(err, fault.CodeInternal, "cannot decode "+key)
	}

	return version, nil
}
