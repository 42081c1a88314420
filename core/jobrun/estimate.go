package jobrun

import "time"

const (
	// smoothing is the weight of the latest item in the estimate.
	smoothing = 0.1
	// leastEvents is the part of an ordinary item that is expected of one that is longer than most.
	leastEvents = 0.1
)

// estimate learns from finished runs how long an item still takes.
type estimate struct {
	// millisPerEvent and events describe an ordinary item; 0 until the first one is known.
	millisPerEvent float64
	events         float64
}

// observe takes a run that has led an item to its end: how long it took for how many of the item's events.
func (e *estimate) observe(took time.Duration, made, total int64) {
	if made < 1 || total < 1 {
		return
	}
	pace := float64(took.Milliseconds()) / float64(made)
	if e.events == 0 {
		e.millisPerEvent, e.events = pace, float64(total)

		return
	}
	e.millisPerEvent += smoothing * (pace - e.millisPerEvent)
	e.events += smoothing * (float64(total) - e.events)
}

// left returns how long an item with this many events still takes on an ordinary server.
func (e *estimate) left(last int64) time.Duration {
	events := max(e.events-float64(last), leastEvents*e.events)

	return time.Duration(events * e.millisPerEvent * float64(time.Millisecond))
}
