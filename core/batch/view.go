package batch

import (
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

// canceledTime is how long a cancellation announced by a peer is kept for a job that is not in the index.
const canceledTime = 10 * time.Minute

// ObserveOpen replaces the view of the open-job index by one that was current at a time on this instance's clock; an
// older revision than the current one is ignored. It returns the digest of the view that is in effect afterwards.
func (r *Runner) ObserveOpen(jobs []job.OpenJob, revision int64, at time.Time) (digest int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return r.digest
	}
	r.revision = revision
	r.digest = job.Digest(jobs)
	r.confirm(at)
	present := make(map[string]bool, len(jobs))
	for _, o := range jobs {
		present[o.ID] = true
		w := r.jobs[o.ID]
		if w == nil {
			w = newKnownJob(o)
			r.jobs[o.ID] = w
		}
		if _, ok := r.canceled[o.ID]; ok || o.Cancelled {
			w.stop()
		}
	}
	for id, w := range r.jobs {
		if !present[id] {
			w.stop()
			delete(r.jobs, id)
		}
	}
	now := r.now()
	for id, t := range r.canceled {
		if !present[id] && now.Sub(t) > canceledTime {
			delete(r.canceled, id)
		}
	}
	r.notify()

	return r.digest
}

// ConfirmOpen records that, according to a peer, a view with this digest (job.Digest) was current at a time on this instance's
// clock. It has no effect if this runner's view differs. Digests are compared and not revisions, since the store's revision
// grows with every write to any key.
func (r *Runner) ConfirmOpen(digest int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if digest == r.digest && !r.confirmedAt.IsZero() {
		r.confirm(at)
		r.notify()
	}
}

func (r *Runner) confirm(at time.Time) {
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
		r.freshUntil.Store(at.Add(maxViewAge).UnixNano())
	}
}

// CancelJobs stops the items of jobs at once; none of them is started again.
func (r *Runner) CancelJobs(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.canceled[id] = r.now()
		if w := r.jobs[id]; w != nil {
			w.stop()
		}
	}
	r.notify()
}

// fresh reports whether the view is recent enough to start items; the caller holds mu.
func (r *Runner) fresh(at time.Time) bool {
	return !r.confirmedAt.IsZero() && at.Sub(r.confirmedAt) <= maxViewAge
}

// errStopped ends an item whose job was canceled or whose runner stops.
var errStopped = fault.New(fault.CodeCancelled, "stopped")

// OpenJobs returns the number of jobs in the view.
func (r *Runner) OpenJobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.jobs)
}

// MayStart reports whether the view is recent enough to start items at a time. The dispatcher calls it right before it
// grants a slot, since an item may have queued there for longer than the view stays valid. It takes no lock, since the
// dispatcher holds its own during the call.
func (r *Runner) MayStart(at time.Time) bool {
	return at.UnixNano() <= r.freshUntil.Load()
}

// ItemTime returns the moving average of the duration of an item of a deployment on this instance, including the time that it
// waits in the dispatcher; false until an item has ended.
func (r *Runner) ItemTime(deployment string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.itemTime[deployment]

	return d, ok
}
