package jobrun

import (
	"context"
	"time"

	"tarragonwalk/core/purpose"
	"tarragonwalk/core/work"
)

// finishedRetention is how long a job stays readable at least after its last item was listed.
const finishedRetention = 30 * time.Second

// expiry returns when a job that is finished, was ended by its caller or was never written completely may be deleted. Any other job is
// open and has to stay, however old it is.
func (r *Runner) expiry(j *work.Job) time.Time {
	readable := j.SubmittedAt.Add(r.keepFor)
	if j.FinishedAt != nil {
		readable = later(readable, j.FinishedAt.Add(finishedRetention))
	}

	return readable.Add(maxClockSkew)
}

func (r *Runner) expired(j *work.Job, at time.Time) bool {
	return at.After(r.expiry(j))
}

// removeOld deletes the objects of a job that has no holder and is no longer readable.
func (r *Runner) removeOld(ctx context.Context, j *work.Job) {
	segments, err := r.segments(purpose.With(ctx, "removal"), j)
	if err != nil {
		r.logger.Warn("results of an old job not read", "job", j.ID, "error", err.Error())

		return
	}
	var starts []int
	position := 0
	for _, segment := range segments {
		starts = append(starts, position)
		position += len(segment)
	}
	r.remove(ctx, j, starts)
}

// remove deletes the objects of a job whose segments begin at the given positions.
func (r *Runner) remove(ctx context.Context, j *work.Job, starts []int) {
	ctx, cancel := context.WithTimeout(purpose.With(ctx, "removal"), writeTimeout)
	defer cancel()
	err := r.log.Remove(ctx, j, starts)
	r.logger.Info("old job removed", "job", j.ID, "submitted_at", j.SubmittedAt, "finished", j.Finished, "results", len(starts) > 0,
		"error", errorText(err))
}
