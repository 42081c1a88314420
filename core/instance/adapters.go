package instance

import (
	"context"

	"tarragonwalk/core/batch"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/exchange"
	"tarragonwalk/core/job"
	"tarragonwalk/io/jobstore"
)

// currentHolder stands in an empty configuration until the first one is in force.
type currentHolder struct {
	holder *configuration.Holder
}

// Current returns the configuration in force, or an empty one with version 0.
func (h currentHolder) Current() *configuration.Configuration {
	if c := h.holder.Current(); c != nil {
		return c
	}

	return &configuration.Configuration{}
}

// announcedJobs tells the own runner and peers of a cancellation at once, ahead of their watches.
type announcedJobs struct {
	*jobstore.Store
	exchanger *exchange.Exchanger
	runner    *batch.Runner
}

// Cancel cancels a job and announces it.
func (j *announcedJobs) Cancel(ctx context.Context, workspace, id string) (job.Status, error) {
	s, err := j.Store.Cancel(ctx, workspace, id)
	if err == nil && s.Job.State == job.JobStateCancelled {
		j.runner.CancelJobs([]string{id})
		j.exchanger.ReportCancelled(id)
	}

	return s, err
}
