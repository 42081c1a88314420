package batch

import (
	"context"
	"encoding/json"
	"time"

	"tarragonwalk/core/background"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

const (
	// partLimit is the store's limit on the size of a value.
	partLimit = 1 << 20
	// storePause and storePauseLimit are the first and the longest pause between repeats of a store call in an outage.
	storePause      = 100 * time.Millisecond
	storePauseLimit = 5 * time.Second
	// slotlessTime is how long an instance keeps a chunk without a backend server of its own for batch work; slotPollInterval is how
	// often it looks. A server that has restarted is back within that time.
	slotlessTime     = 2 * time.Second
	slotPollInterval = 250 * time.Millisecond
)

// start runs a claimed chunk in the background.
func (r *Runner) start(ctx context.Context, w *knownJob, n, attempt int, version int64) {
	r.mu.Lock()
	w.chunks[n] = stateHeld
	w.pause = minPollInterval
	r.heldTotal++
	r.held[w.open.Workspace]++
	r.turns++
	r.lastTurn[w.open.Workspace] = r.turns
	r.unfinished[w.open.Deployment] += w.file.Chunks[n].Items
	r.mu.Unlock()
	r.chunks.Go(func() {
		done := r.runChunk(ctx, w, n, attempt)
		if !done && w.ctx.Err() == nil {
			r.release(ctx, w, n, attempt, version)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if !done {
			w.chunks[n] = stateTaken
			w.delay(r.now(), maxPollInterval)
		} else {
			w.chunks[n] = stateDone
			w.check = true
			w.pollAt = time.Time{}
		}
		r.heldTotal--
		r.held[w.open.Workspace]--
		r.notify()
	})
}

// runChunk runs the items of a chunk and publishes their results; it reports whether a result is published.
func (r *Runner) runChunk(ctx context.Context, w *knownJob, n, attempt int) bool {
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.onStop(cancel)()
	r.chunks.Go(func() { r.awaitSlotless(run, cancel, w, n) })
	unfinished := w.file.Chunks[n].Items
	finished := func(count int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		count = min(count, unfinished)
		unfinished -= count
		r.unfinished[w.open.Deployment] -= count
		r.notify()
	}
	defer func() { finished(w.file.Chunks[n].Items) }()
	data, err := r.read(run, job.FileChunkKey(w.open.Workspace, w.open.File, w.file.Chunks[n]))
	if err != nil {
		r.log.Warn("cannot read a chunk", "job", w.open.ID, "chunk", n, "error", err)

		return false
	}
	items, err := job.Items(data)
	if err != nil {
		r.log.Error("cannot decode a chunk", "job", w.open.ID, "chunk", n, "error", err)

		return false
	}
	results := make([]job.ItemResult, len(items))
	limited, stop := context.WithTimeout(run, w.open.Deadline.Sub(r.now()))
	defer stop()
	var group background.Tasks
	for i := range items {
		e := r.newRun(w, w.file.Chunks[n].FirstItem+i, items[i])
		e.admitErr = r.admit(limited, w)
		group.Go(func() {
			results[i] = r.runItem(limited, w, e)
			finished(1)
		})
	}
	group.Wait()
	// Items may be stopped before run ends, so it is their results that show it.
	if !complete(results) {
		return false
	}

	done := r.publish(ctx, w, n, attempt, results)
	if done {
		r.recorder.CountPublished(w.open.Deployment, len(items), w.open.Deadline, r.now())
	}

	return done
}

// awaitSlotless stops a chunk once this instance has owned no usable backend server for batch work for slotlessTime, until ctx ends.
// Another instance owns them then, and could not run the items while this one holds their chunk.
func (r *Runner) awaitSlotless(ctx context.Context, stop func(), w *knownJob, n int) {
	ownedAt := r.now()
	for sleep(ctx, slotPollInterval) {
		if r.dispatcher.BatchSlots(w.open.Deployment) > 0 {
			ownedAt = r.now()
		}
		if r.now().Sub(ownedAt) >= slotlessTime {
			r.log.Info("chunk given up, since this instance owns no backend server", "job", w.open.ID, "chunk", n, "owned_at", ownedAt)
			stop()

			return
		}
	}
}

// complete reports whether each item has a result; a stopped item has none.
func complete(results []job.ItemResult) bool {
	for _, e := range results {
		if e.ID == "" {
			return false
		}
	}

	return true
}

// publish writes the parts and then the result of a chunk. It continues for lingerTime after ctx ends.
func (r *Runner) publish(ctx context.Context, w *knownJob, n, attempt int, results []job.ItemResult) bool {
	linger, cancel := lingering(ctx, lingerTime)
	defer cancel()
	defer w.onStop(cancel)()
	c := job.ChunkResult{
		Attempt: attempt,
	}
	var part []byte
	flush := func() error {
		c.Parts++

		return r.create(linger, job.PartKey(w.open.ID, n, attempt, c.Parts-1), part)
	}
	for _, e := range results {
		line, failed := encode(e)
		if failed {
			c.Failed++
		} else {
			c.Completed++
		}
		if len(part)+len(line) > partLimit {
			if err := flush(); err != nil {
				return false
			}
			part = nil
		}
		part = append(part, line...)
	}
	if err := flush(); err != nil {
		return false
	}
	value, err := json.Marshal(c)
	if err == nil {
		err = r.create(linger, job.ResultKey(w.open.ID, n), value)
	}

	return err == nil
}

// encode returns the line of a result and whether it is a failed one. A result that exceeds the size limit of a part is
// replaced by a failed one.
func encode(e job.ItemResult) ([]byte, bool) {
	line, err := json.Marshal(e)
	if err != nil || len(line) >= partLimit {
		e = failedResult(e.ID, e.CustomID, fault.New(fault.CodeTooLarge, "the result is too large to store"))
		// A result of short strings can always be encoded.
		line, _ = json.Marshal(e)
	}

	return append(line, '\n'), e.Error != nil
}

// read gets a value and retries until ctx ends.
func (r *Runner) read(ctx context.Context, key string) ([]byte, error) {
	for pause := storePause; ; pause = min(2*pause, storePauseLimit) {
		data, _, err := r.objects.Get(ctx, key)
		if err == nil || !sleep(ctx, r.jitter(pause)) {
			return data, err
		}
	}
}

// create writes a write-once value and retries until ctx ends. A conflict counts as success: the store already has this value
// or another holder's result.
func (r *Runner) create(ctx context.Context, key string, value []byte) error {
	for pause := storePause; ; pause = min(2*pause, storePauseLimit) {
		_, err := r.objects.Put(ctx, key, value, 0)
		if c := fault.CodeOf(err); c == "" || c == fault.CodeConflict {
			return nil
		}
		if !sleep(ctx, r.jitter(pause)) {
			return err
		}
	}
}

// release marks the claim of a chunk as released, so that another runner may take it over at once. It retries until the claim is
// released, gone or another runner's, or the job ends, and for releaseTime after ctx ends: while this runner renews its session for
// other chunks, no other one takes the claim over.
func (r *Runner) release(ctx context.Context, w *knownJob, n, attempt int, version int64) {
	value, err := json.Marshal(job.Claim{
		Holder:      r.name,
		Incarnation: r.incarnation,
		Attempt:     attempt,
		Released:    true,
	})
	if err != nil {
		r.log.Error("cannot encode a claim", "job", w.open.ID, "chunk", n, "error", err)

		return
	}
	linger, cancel := lingering(ctx, releaseTime)
	defer cancel()
	defer w.onStop(cancel)()
	for pause := storePause; ; pause = min(2*pause, storePauseLimit) {
		_, err := r.objects.Put(linger, job.ClaimKey(w.open.ID, n), value, version)
		if c := fault.CodeOf(err); c == "" || c == fault.CodeConflict || c == fault.CodeNotFound {
			return
		}
		r.log.Warn("cannot release a claim", "job", w.open.ID, "chunk", n, "error", err)
		if !sleep(linger, r.jitter(pause)) {
			return
		}
	}
}

// lingering returns a context that ends d after ctx, or when the returned function is called.
func lingering(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	linger, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if sleep(linger, d) {
			cancel()
		}
	})

	return linger, func() {
		stop()
		cancel()
	}
}
