package ratelimit

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

// Requests returns the number of requests that may run in a window.
func (l Limit) Requests() float64 {
	return l.RatePerSecond*l.Window.Seconds() + float64(l.Burst)
}

// Tolerance returns by how many requests the limit may be exceeded.
func (l Limit) Tolerance() float64 {
	return l.Requests()*l.Overage + float64(l.Slack)
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool {
	return l.Window > 0 && l.Requests() > 0
}
