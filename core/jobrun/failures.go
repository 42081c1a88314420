package jobrun

import (
	"context"
	"slices"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/work"
)

// What an item has cost has to outlive its holder: otherwise each further holder would give an item that cannot be done all its attempts
// again. The first holder keeps failures in memory and lists results together, so that it costs no writes. Once a holder was lost, the next ones
// write each failure to the record before the item runs again, list items that are given up at once, and start no items while they are isolated.
// After checkedTakeovers, a holder also starts items only right after the store has confirmed that it holds the job: one that does not reach the
// store could not list what it finds out.
const (
	// checkedTakeovers is the number of takeovers from which the holder of a job has to be confirmed.
	checkedTakeovers = 2
	// checkPause is the time after which the holder of such a job is confirmed again while items wait, checkLife how long a confirmation is
	// enough to start items. An item that cannot be done fails within a tenth of a second.
	checkPause = time.Second
	checkLife  = 250 * time.Millisecond
	// maxRecordedFailures bounds the items in a record that have failed and are not listed; further ones wait until some of these are.
	maxRecordedFailures = 1024
)

// mustCheck reports whether no item of the job may start until the store has confirmed its holder, given whether that is isolated.
func (j *job) mustCheck(isolated bool, at time.Time) bool {
	return j.Takeovers > 0 && isolated || j.Takeovers >= checkedTakeovers && at.Sub(j.heldAt) > checkLife
}

// checkDue reports whether the holder of the job has to be confirmed so that its waiting items may start.
func (j *job) checkDue(at time.Time) bool {
	if j.Takeovers < checkedTakeovers || at.Sub(j.heldAt) <= checkPause || j.ended {
		return false
	}
	for _, it := range j.items {
		if it.state == waiting {
			return true
		}
	}

	return false
}

// hasUnrecorded reports whether a failure of a waiting item is not in the job's record yet.
func (j *job) hasUnrecorded() bool {
	if j.Takeovers == 0 {
		return false
	}
	for _, it := range j.items {
		if it.unrecorded && it.state == waiting {
			return true
		}
	}

	return false
}

// givesUp reports whether one of the results that are not listed yet is that of an item that was given up.
func (j *job) givesUp() bool {
	return slices.ContainsFunc(j.pending, func(r work.Result) bool { return r.State == work.StateDead })
}

// failures returns the failures of the items that are not done, of maxRecordedFailures at most, those that are recorded first.
func (j *job) failures() map[string]int {
	counts := map[string]int{}
	for _, unrecorded := range []bool{false, true} {
		for _, it := range j.items {
			if it.state != done && it.failures > 0 && it.unrecorded == unrecorded && len(counts) < maxRecordedFailures {
				counts[it.ID] = it.failures
			}
		}
	}

	return counts
}

// recordFailures writes the failures of the job's items to its record, so that they may run again.
func (r *Runner) recordFailures(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(purpose.With(ctx, "failures"), writeTimeout)
	defer cancel()
	at := r.now()
	record, revision, err := r.log.Job(ctx, j.ID)
	held := err == nil && r.mine(record)
	r.lock.Lock()
	counts := j.failures()
	r.lock.Unlock()
	if held {
		record.Failures = counts
		revision, err = r.log.Update(ctx, *record, revision)
	}
	if err == nil && !held || fault.CodeOf(err) == fault.CodeConflict {
		held, err = r.checkHolder(ctx, j)
		if err == nil && held {
			err = errRecordChanged
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	j.flushing = false
	if err != nil {
		j.retryAt = r.now().Add(retryPause)
		r.logger.Warn("failures not recorded", "job", j.ID, "items", len(counts), "error", err.Error())

		return
	}
	if !held {
		return
	}
	j.revision, j.heldAt, j.Failures = revision, at, counts
	for _, it := range j.items {
		if counts[it.ID] == it.failures {
			it.unrecorded = false
		}
	}
	if len(counts) == maxRecordedFailures {
		j.retryAt = r.now().Add(retryPause)
	}
	r.logger.Info("failures recorded", "job", j.ID, "items", len(counts), "takeovers", j.Takeovers, "revision", revision)
	r.signal()
}

// errRecordChanged is the failure to write a record that was changed since it was read, though not by another holder.
var errRecordChanged = fault.New(fault.CodeConflict, "the job's record has changed")
