package idleconn

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// SweepInterval is how often all connections are to be checked; the limits are in the order of seconds.
	SweepInterval = 200 * time.Millisecond
	// writeTimeout bounds the write of the response to a caller whose headers are late.
	writeTimeout = 100 * time.Millisecond
	// requestTimeoutResponse is the response on a connection whose first request has not arrived in time. Its status promises that
	// nothing was run.
	requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var closed = expvar.NewMap("CallerConnectionsClosed")

type trackedConnection struct {
	state http.ConnState
	since time.Time
}

// Limiter is safe for concurrent use.
type Limiter struct {
	limits func() (header, idle time.Duration)
	now    func() time.Time
	// lock guards connections.
	lock        sync.Mutex
	connections map[net.Conn]trackedConnection
}

// New returns a limiter; limits returns the current limits, 0 for none.
func New(limits func() (header, idle time.Duration), now func() time.Time) *Limiter {
	return &Limiter{
		limits:      limits,
		now:         now,
		connections: map[net.Conn]trackedConnection{},
	}
}

// Observe records the state of a connection; it is used as the ConnState hook of an http.Server.
func (l *Limiter) Observe(c net.Conn, state http.ConnState) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		delete(l.connections, c)

		return
	}
	l.connections[c] = trackedConnection{
		state: state,
		since: l.now(),
	}
}

// Run closes connections that exceed the limits at each tick until ctx ends. Ticks are to come every SweepInterval.
func (l *Limiter) Run(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ticks:
			l.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Limiter) sweep() {
	header, idle := l.limits()
	at := l.now()
	for c, state := range l.expired(header, idle, at) {
		if state == http.StateNew {
			closed.Add("LateHeaders", 1)
			writeRequestTimeout(c, at)
		} else {
			closed.Add("Idle", 1)
		}
		_ = c.Close() // the caller may have closed it already
	}
}

// expired removes and returns the connections that exceed the limits.
func (l *Limiter) expired(header, idle time.Duration, at time.Time) map[net.Conn]http.ConnState {
	l.lock.Lock()
	defer l.lock.Unlock()
	found := map[net.Conn]http.ConnState{}
	for c, w := range l.connections {
		limit := idle
		if w.state == http.StateNew {
			limit = header
		}
		if limit > 0 && at.Sub(w.since) > limit {
			found[c] = w.state
			delete(l.connections, c)
		}
	}

	return found
}

func writeRequestTimeout(c net.Conn, at time.Time) {
	if c.SetWriteDeadline(at.Add(writeTimeout)) == nil {
		_, _ = c.Write([]byte(requestTimeoutResponse)) // the caller may have closed the connection
	}
}
