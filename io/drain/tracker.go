package drain

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// reuseTime is how long after its response a caller may use a connection again whose closing was not announced.
	reuseTime = 250 * time.Millisecond
	// pollInterval is how often Wait looks.
	pollInterval = 20 * time.Millisecond
)

// Tracker tracks the connections with a response in progress that does not announce that the connection will close. Such a connection
// has to be served for a moment after the response, since its caller may use it again at once. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time
	// lock guards all fields below.
	lock      sync.Mutex
	announced bool
	busy      map[net.Conn]struct{}
	// lastEnd is when the last of them became idle.
	lastEnd time.Time
}

// New returns a tracker without connections.
func New(now func() time.Time) *Tracker {
	return &Tracker{
		now:  now,
		busy: map[net.Conn]struct{}{},
	}
}

// Began records that a connection has received a request.
func (t *Tracker) Began(c net.Conn) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.announced {
		t.busy[c] = struct{}{}
	}
}

// Ended records that the response on a connection is complete or that the connection was closed.
func (t *Tracker) Ended(c net.Conn) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if _, ok := t.busy[c]; ok {
		delete(t.busy, c)
		t.lastEnd = t.now()
	}
}

// Announce records that all responses from now on announce that their connection will close.
func (t *Tracker) Announce() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.announced = true
}

// Wait waits until no response from before Announce is in progress and callers have had the time to use their connections again, or
// until ctx ends.
func (t *Tracker) Wait(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !t.done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Tracker) done() bool {
	t.lock.Lock()
	defer t.lock.Unlock()

	return len(t.busy) == 0 && t.now().Sub(t.lastEnd) >= reuseTime
}
