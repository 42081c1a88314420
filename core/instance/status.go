package instance

import (
	"sort"
)

// Status returns the state of the instance for operators.
func (i *Instance) Status() Status {
	online, batchItems, queued := i.dispatcher.Snapshot()
	live := []string{}
	for _, m := range i.table.Live(i.clock()) {
		live = append(live, m.Name)
	}
	sort.Strings(live)
	s := Status{
		Instance:             i.settings.Instance.Name,
		Zone:                 i.settings.Instance.Zone,
		Region:               i.settings.Instance.Region,
		Incarnation:          i.incarnation,
		StartedAt:            i.startedAt,
		ConfigurationVersion: currentHolder{holder: i.holder}.Current().Version,
		Leaving:              i.exchanger.Leaving(),
		Online:               online,
		Batch:                batchItems,
		Queued:               queued,
		LiveInstances:        live,
		OpenJobs:             i.runner.OpenJobs(),
	}

	return s
}
