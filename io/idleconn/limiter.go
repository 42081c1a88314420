package idleconn

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/drain"
	"tarragonwalk/io/tcp"
)

const (
	// SweepInterval is how often all connections are to be checked; the limits are in the order of seconds.
	SweepInterval = 200 * time.Millisecond
	// writeTimeout bounds the write of the response to a caller whose headers are late.
	writeTimeout = 100 * time.Millisecond
	// unusedTime is how long after its begin a connection without a request is kept at a stop.
	unusedTime = 5 * time.Second
	// handshakeTime is more than the round trip in which a connection that the kernel has begun to open is open.
	handshakeTime = 100 * time.Millisecond
	// shutdownInterval is how often Shutdown looks for connections that can be closed.
	shutdownInterval = 10 * time.Millisecond
	// requestTimeoutResponse is the response on a connection whose first request has not arrived in time. Its status promises that
	// nothing was run.
	requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var closed = expvar.NewMap("CallerConnectionsClosed")

// trackedConnection is an open connection. In state active, bytes of a request have arrived.
type trackedConnection struct {
	// outer is the connection that the server uses, such as one for TLS.
	outer net.Conn
	state http.ConnState
	since time.Time
	// headSince is when a part of the next request's head was first seen, zero before.
	headSince time.Time
	// handled is set in state active once the handler of the request was called.
	handled bool
	// closing is set once the limiter has decided to close the connection.
	closing bool
}

// inHead reports whether the connection waits for the head of a request, or for the rest of it.
func (w trackedConnection) inHead() bool {
	return w.state == http.StateNew || !w.headSince.IsZero()
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// Limiter is safe for concurrent use.
type Limiter struct {
	limits func() (header, idle time.Duration)
	now    func() time.Time
	logger *slog.Logger
	// handles is set once the limiter has a handler, without which it does not know whether a request is handled.
	handles atomic.Bool
	// lock guards the fields below.
	lock        sync.Mutex
	listeners   []*listener
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

// Listen returns a listener for a server whose ConnState hook calls Observe. Without it, the limiter does not know of bytes that the server
// has read and not handled yet.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	n := newListener(inner, l)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.listeners = append(l.listeners, n)

	return n
}

// add records a connection that was accepted.
func (l *Limiter) add(c net.Conn) {
	l.Observe(c, http.StateNew)
}

// Observe records the state of a connection; it is used as the ConnState hook of a server.
func (l *Limiter) Observe(c net.Conn, state http.ConnState) {
	l.lock.Lock()
	defer l.lock.Unlock()
	inner := innermost(c)
	w := l.connections[inner]
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		l.forget(inner)

		return
	case state == http.StateActive && w.closing:
		return // Handler has to find it
	}
	if known, ok := inner.(*connection); ok && state == http.StateIdle {
		known.becameIdle()
	}
	l.connections[inner] = trackedConnection{
		outer: c,
		state: state,
		since: l.now(),
	}
}

// innermost returns the connection that the listener has accepted.
func innermost(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// forget removes a connection that has ended. The library answers what it cannot read as a request with a 4xx or 5xx of its own, and does
// not answer at all if the caller has left. It needs the lock.
func (l *Limiter) forget(inner net.Conn) {
	w, ok := l.connections[inner]
	delete(l.connections, inner)
	if ok && w.state == http.StateActive && !w.handled && l.handles.Load() {
		closed.Add("Unhandled", 1)
		l.logger.Info("caller's connection ended before its request was handled", "caller", inner.RemoteAddr().String())
	}
}

// ConnContext adds a connection to the context of its requests; it is used as the ConnContext hook of an http.Server.
func (*Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ConnectionOf returns the connection of a request, nil if it is not known.
func ConnectionOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connectionKey{}).(net.Conn)

	return c
}

// Handler returns a handler that drops a request whose connection the limiter closes. An http.Server counts a connection as idle, or as
// new, until it has read the head of the request, so that a request may arrive while the connection is being closed. Its caller is told
// nothing or that it was not run, so it must not reach next.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	l.handles.Store(true)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnectionOf(r); c != nil && !l.begin(c) {
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
	inner := innermost(c)
	w := l.connections[inner]
	if w.closing {
		return false
	}
	w.outer, w.state, w.handled = c, http.StateActive, true
	l.connections[inner] = w

	return true
}

// Shutdown closes the listeners once no connection waits to be accepted, and each connection once nothing is to be answered on it. Unlike
// the shutdown of an http.Server, it does not drop requests that have arrived and are not handled yet. It returns when no connection is
// left, or the error of ctx if that ends before. The responses have to announce that their connections close.
func (l *Limiter) Shutdown(ctx context.Context) error {
	l.lock.Lock()
	listeners := slices.Clone(l.listeners)
	l.lock.Unlock()
	group := conc.WaitGroup{}
	for _, n := range listeners {
		group.Go(func() { l.stopListening(ctx, n) })
	}
	group.Wait()
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for l.closeIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.CodeDeadlinePassed, "connections are still in use")
		}
	}

	return nil
}

// stopListening closes a listener once the process has accepted the connections that the kernel has accepted for it.
func (l *Limiter) stopListening(ctx context.Context, n *listener) {
	if err := drain.RefuseNew(n.Listener); err != nil {
		l.logger.Debug("connections made while the listener closes are reset", "error", err.Error())
	} else {
		select {
		case <-time.After(handshakeTime):
		case <-ctx.Done():
		}
	}
	if err := drain.WaitBacklog(ctx, n.Listener); err != nil {
		l.logger.Warn("waiting connections may be reset", "error", err.Error())
	}
	if err := n.Close(); err != nil {
		l.logger.Debug("cannot close listener", "error", err.Error())
	}
}

// closeIdle closes the connections on which no request is on its way, and returns how many were open.
func (l *Limiter) closeIdle() int {
	l.lock.Lock()
	open := len(l.connections)
	at := l.now()
	var idle []net.Conn
	for inner, w := range l.connections {
		usable := w.state == http.StateActive || w.state == http.StateNew && at.Sub(w.since) <= unusedTime
		if !usable && l.beginClosing(inner, w, false, false) {
			idle = append(idle, w.outer)
		}
	}
	l.lock.Unlock()
	for _, c := range idle {
		closed.Add("Idle", 1)
		l.logger.Debug("caller's connection closed", "caller", c.RemoteAddr().String(), "cause", "stopping")
		_ = c.Close() // the caller may have closed it already
	}

	return open
}

// beginClosing reports whether a connection is to be closed now, which is so if the server has nothing to work on but, if part is set, a
// part of a request. No request on it is handled any more, and unless write is set, nothing can be written. lock is held.
func (l *Limiter) beginClosing(inner net.Conn, w trackedConnection, part, write bool) bool {
	if w.closing {
		return false
	}
	known, ok := inner.(*connection)
	if ok && !known.beginClosing(part, write) || !ok && tcp.HasUnread(inner) {
		return false
	}
	w.closing = true
	l.connections[inner] = w

	return true
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
		if w.inHead() {
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
	for inner, w := range l.connections {
		limit, since := idle, w.since
		known, ok := inner.(*connection)
		if ok && w.state == http.StateIdle && w.headSince.IsZero() && known.hasBegun() {
			w.headSince = at
			l.connections[inner] = w
		}
		switch {
		case w.state == http.StateActive:
			continue
		case w.state == http.StateNew:
			limit = header
		case w.inHead():
			limit, since = header, w.headSince
		case since.Before(l.loweredAt):
			since = l.loweredAt
		}
		// A process that is short of processor time reads and handles late what its callers have sent in time.
		if limit > 0 && at.Sub(since) > limit && l.beginClosing(inner, w, true, w.inHead()) {
			found[w.outer] = w
		}
	}

	return found
}

func writeRequestTimeout(c net.Conn, at time.Time) {
	if c.SetWriteDeadline(at.Add(writeTimeout)) == nil {
		_, _ = c.Write([]byte(requestTimeoutResponse)) // the caller may have closed the connection
	}
}
