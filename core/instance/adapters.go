package instance

import (
	"context"

	"tarragonwalk/core/batch"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/exchange"
	"tarragonwalk/core/job"
	"tarragonwalk/io/jobstore"
)

// currentHolder provides an empty configuration until the first one is in force.
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

// announcingJobs is a job store that reports cancellations to the local runner and to peers at once, before their watches of the
// store do.
type announcingJobs struct {
	*jobstore.Store
	exchanger *exchange.Exchanger
	runner    *batch.Runner
}

// Cancel cancels a job and reports the cancellation.
func (j *announcingJobs) Cancel(ctx context.Context, workspace, id string) (job.Status, error) {
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

// itemRateMargin is the factor on the measured rate up to which a job is still accepted. Measured item times include waits for
// slots, which are longer during a load peak, so that a job whose deadline lies after the peak would otherwise be refused.
const itemRateMargin = 2

// ItemRate returns the rate in items per second, including itemRateMargin, and false while no item of the deployment has ended on
// this instance.
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
