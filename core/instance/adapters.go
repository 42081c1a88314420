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

// itemRates estimates the rate of a whole deployment from the item times that this instance has measured.
type itemRates struct {
	holder currentHolder
	runner *batch.Runner
}

// itemRateMargin keeps a peak from refusing a job that is due after it: measured item times include waits for slots, which
// a peak makes longer, so a job is refused only if it could not end even at twice the measured rate.
const itemRateMargin = 2

// ItemRate returns items a second, false while no item of the deployment has ended here.
func (i itemRates) ItemRate(deployment string) (perSecond float64, known bool) {
	took, ok := i.runner.ItemTime(deployment)
	if !ok || took <= 0 {
		return 0, false
	}
	slots := 0
	for _, b := range i.holder.Current().BackendServers {
		if b.Deployment == deployment && !b.Leaving {
			slots += b.Slots
		}
	}

	return itemRateMargin * float64(slots) / took.Seconds(), slots > 0
}
