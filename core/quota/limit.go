package quota

import "time"

// Limit is the quota of a workspace: in any sliding window all instances together let through at most the rate times the window plus the
// burst. That may be exceeded by the fraction Overage and by Slack requests because counts of others arrive late.
type Limit struct {
	RatePerSecond float64
	Burst         int
	Window        time.Duration
	Overage       float64
	Slack         int
}

// requests returns the number of requests that may run in a window.
func (l Limit) requests() float64 {
	return l.RatePerSecond*l.Window.Seconds() + float64(l.Burst)
}

// tolerance returns by how many requests the limit may be exceeded.
func (l Limit) tolerance() float64 {
	return l.requests()*l.Overage + float64(l.Slack)
}

// set reports whether there is a limit.
func (l Limit) set() bool {
	return l.Window > 0 && l.requests() > 0
}
