package jobrun

import "time"

const (
	// smoothing is the weight of the latest item in the estimate.
	smoothing = 0.1
	// minRemainingRatio is the least remaining work that is assumed, as a fraction of an ordinary item; it applies to items
	// that are longer than most.
	minRemainingRatio = 0.1
)

// estimate predicts from finished runs how long an item still takes.
type estimate struct {
	// millisPerEvent and events are moving averages over finished items; 0 until the first one.
	millisPerEvent float64
	events         float64
}

// observe records a run that completed an item of total events: the run took this long and produced made of them.
func (e *estimate) observe(took time.Duration, made, total int64) {
	if made < 1 || total < 1 {
		return
	}
	perEvent := float64(took.Milliseconds()) / float64(made)
	if e.events == 0 {
		e.millisPerEvent, e.events = perEvent, float64(total)

		return
	}
	e.millisPerEvent += smoothing * (perEvent - e.millisPerEvent)
	e.events += smoothing * (float64(total) - e.events)
}

// remainingEvents returns how many events an item that has produced last events still produces, 0 if that is not known.
func (e *estimate) remainingEvents(last int64) float64 {
	return max(e.events-float64(last), minRemainingRatio*e.events)
}

// remaining returns how long an item that has produced last events still takes on an ordinary server.
func (e *estimate) remaining(last int64) time.Duration {
	return time.Duration(e.remainingEvents(last) * e.millisPerEvent * float64(time.Millisecond))
}
