package idleconn

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragonwalk/io/tcp"
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

// trackedConnection is a connection without a request that is being handled. In state active, bytes of a request have arrived.
type trackedConnection struct {
	state http.ConnState
	since time.Time
	// closing is set once the limiter has decided to close the connection.
	closing bool
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// Limiter is safe for concurrent use.
type Limiter struct {
	limits func() (header, idle time.Duration)
	now    func() time.Time
	logger *slog.Logger
	// lock guards the fields below.
	lock        sync.Mutex
	connections map[net.Conn]trackedConnection
	// idleLimit is the limit at the last sweep, and loweredAt is when it last became shorter. Callers learn of a shorter limit late and
	// may use their connections until then.
	idleLimit time.Duration
	loweredAt time.Time
}

// New returns a limiter; limits returns the current limits, 0 for none.
func New(limits func() (header, idle time.Duration), now func() time.Time, logger *slog.Logger) *Limiter {
	return &Limiter{
		limits:      limits,
		now:         now,
		logger:      logger,
		connections: map[net.Conn]trackedConnection{},
	}
}

// Observe records the state of a connection; it is used as the ConnState hook of an http.Server.
func (l *Limiter) Observe(c net.Conn, state http.ConnState) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if state == http.StateActive && l.connections[c].closing {
		return // Handler has to find it
	}
	if state == http.StateClosed || state == http.StateHijacked {
		l.forget(c)

		return
	}
	l.connections[c] = trackedConnection{
		state: state,
		since: l.now(),
	}
}

// forget removes a connection that has ended. The library answers what it cannot read as a request with a 4xx or 5xx of its own, and does
// not answer at all if the caller has left or the server is shutting down. It needs the lock.
func (l *Limiter) forget(c net.Conn) {
	w, ok := l.connections[c]
	delete(l.connections, c)
	if ok && w.state == http.StateActive {
		closed.Add("Unhandled", 1)
		l.logger.Info("caller's connection ended before its request was handled", "caller", c.RemoteAddr().String())
	}
}

// ConnContext adds a connection to the context of its requests; it is used as the ConnContext hook of an http.Server.
func (*Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Handler returns a handler that drops a request whose connection the limiter closes. An http.Server counts a connection as idle, or as
// new, until it has read the head of the request, so that a request may arrive while the connection is being closed. Its caller is told
// nothing or that it was not run, so it must not reach next.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(net.Conn); ok && !l.begin(c) {
			closed.Add("WithRequest", 1)
			l.logger.Info("request dropped, since its connection is being closed", "caller", r.RemoteAddr, "path", r.URL.Path)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// begin reports whether a request on a connection may be handled; if so, the connection is not closed before its response.
func (l *Limiter) begin(c net.Conn) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.connections[c].closing {
		return false
	}
	delete(l.connections, c)

	return true
}

// CloseIdle closes the connections that are idle now.
func (l *Limiter) CloseIdle() {
	l.lock.Lock()
	var idle []net.Conn
	for c, w := range l.connections {
		if w.state == http.StateIdle && !w.closing {
			idle = append(idle, c)
			w.closing = true
			l.connections[c] = w
		}
	}
	l.lock.Unlock()
	for _, c := range idle {
		closed.Add("Idle", 1)
		l.logger.Debug("caller's connection closed", "caller", c.RemoteAddr().String(), "cause", "stopping")
		_ = c.Close() // the caller may have closed it already
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
	for c, w := range l.expired(header, idle, at) {
		caller, age := c.RemoteAddr().String(), at.Sub(w.since).Milliseconds()
		if w.state == http.StateNew {
			closed.Add("LateHeaders", 1)
			l.logger.Info("caller's connection closed", "caller", caller, "cause", "headers late", "age_ms", age, "limit_ms", header.Milliseconds())
			writeRequestTimeout(c, at)
		} else {
			closed.Add("Idle", 1)
			l.logger.Debug("caller's connection closed", "caller", caller, "cause", "idle", "age_ms", age, "limit_ms", idle.Milliseconds())
		}
		_ = c.Close() // the caller may have closed it already
	}
}

// expired returns the connections that exceed the limits; no request on them is handled any more.
func (l *Limiter) expired(header, idle time.Duration, at time.Time) map[net.Conn]trackedConnection {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.idleLimit == 0 || idle > 0 && idle < l.idleLimit {
		l.loweredAt = at
	}
	l.idleLimit = idle
	found := map[net.Conn]trackedConnection{}
	for c, w := range l.connections {
		if w.state == http.StateActive {
			continue
		}
		limit, since := idle, w.since
		if w.state == http.StateNew {
			limit = header
		} else if since.Before(l.loweredAt) {
			since = l.loweredAt
		}
		// A process that is short of processor time reads late what its callers have sent in time.
		if limit > 0 && at.Sub(since) > limit && !w.closing && !tcp.HasUnread(c) {
			w.closing = true
			found[c] = w
			l.connections[c] = w
		}
	}

	return found
}

func writeRequestTimeout(c net.Conn, at time.Time) {
	if c.SetWriteDeadline(at.Add(writeTimeout)) == nil {
		_, _ = c.Write([]byte(requestTimeoutResponse)) // the caller may have closed the connection
	}
}
