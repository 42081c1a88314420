package admission

import (
	"time"
)

// OnlineExcept returns the online requests in flight on a backend server, without those that the sender reported.
func (c *Controller) OnlineExcept(sender, name string, at time.Time) int {
	n := c.OnlineAll(name, at)
	if p, ok := c.peers[name][sender]; ok {
		n -= p.inFlight
	}

	return n
}
