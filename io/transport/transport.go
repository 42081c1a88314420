package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonwalk/core/fault"
)

const (
	// dialWait covers one lost SYN, which the kernel repeats after one second, on a 12 ms link.
	dialWait = 1500 * time.Millisecond
	// maxAge bounds how long a pooled connection is used, so that a path that went silent is left.
	maxAge = 30 * time.Second
	// maxIdle is below the idle time-out of common servers.
	maxIdle = 5 * time.Second
	// maxPooled bounds idle connections for each address.
	maxPooled = 64
	// maxBuffered is the largest body that is read before the response is handed over.
	maxBuffered = 64 << 10
	// maxRest bounds what is read after the caller is done, to make a connection reusable.
	maxRest = 4 << 10
	// restWait bounds the wait for the end of a response whose content is complete.
	restWait = 100 * time.Millisecond
)

// Transport is a pool of connections; it is safe for concurrent use.
type Transport struct {
	lock   sync.Mutex
	idle   map[netip.AddrPort][]*connection
	closed bool
}

// New returns an empty pool.
func New() *Transport {
	return &Transport{
		idle: make(map[netip.AddrPort][]*connection),
	}
}

// Do sends q to a and hands the response to use. With a positive maxBody, the response holds its whole body, and a
// longer or truncated one is a failure; with 0, it has a body stream, whose early end use has to detect. The response
// has to arrive within first; the function given to use grants more time for reads from now on. Sent reports whether any byte can have left.
// Failures are BackendUnreachable (only before sending), BackendSilent, StreamLost, CodeCancelled, or use's own error.
func (t *Transport) Do(ctx context.Context, a netip.AddrPort, q *fasthttp.Request, first time.Duration,
	maxBody int, use func(p *fasthttp.Response, extend func(time.Duration)) error,
) (sent bool, err error) {
	c, err := t.acquire(ctx, a)
	if err != nil {
		return false, err
	}
	c.started = false
	c.limit = time.Now().Add(first)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	p := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(p)
	p.StreamBody = maxBody == 0
	p.SkipBody = q.Header.IsHead()
	q.SetHost(a.String())
	reusable, err := exchange(c, q, p, maxBody, use)
	sent = c.started // read before the connection goes back to the pool, where the next request resets it
	if !stop() {
		reusable = false
	}
	if cause := context.Cause(ctx); cause != nil && err != nil {
		err = fault.Wrap(cause, fault.CodeCancelled, "request canceled")
	}
	if reusable {
		t.release(a, c)
	} else {
		c.Close()
	}

	return sent, err
}

// Close closes all idle connections and keeps no further ones.
func (t *Transport) Close() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.closed = true
	for _, l := range t.idle {
		for _, c := range l {
			c.Close()
		}
	}
	clear(t.idle)
}

func exchange(c *connection, q *fasthttp.Request, p *fasthttp.Response, maxBody int,
	use func(*fasthttp.Response, func(time.Duration)) error,
) (reusable bool, err error) {
	w := bufio.NewWriter(c)
	if err = q.Write(w); err == nil {
		err = w.Flush()
	}
	if err != nil {
		return false, Failure(err, "cannot send the request")
	}
	limit := maxBody
	if limit == 0 {
		limit = maxBuffered
	}
	if err = p.ReadLimitBody(c.reader, limit); err != nil {
		return false, Failure(err, "cannot read the response")
	}
	defer p.CloseBodyStream() //nolint:errcheck // Only returns the reader to its pool.
	err = use(p, func(d time.Duration) { c.limit = time.Now().Add(d) })
	if err != nil {
		return false, err
	}
	if p.BodyStream() == nil {
		return !p.ConnectionClose(), nil
	}
	c.limit = time.Now().Add(restWait)
	n, rest := io.Copy(io.Discard, io.LimitReader(p.BodyStream(), maxRest))

	return rest == nil && n < maxRest && !p.ConnectionClose(), nil
}

// Failure returns BackendSilent if err is a time-out, else StreamLost; a *fault.Error is returned unchanged.
func Failure(err error, message string) error {
	var f *fault.Error
	if errors.As(err, &f) {
		return err
	}
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return fault.Wrap(err, fault.CodeBackendSilent, message)
	}

	return fault.Wrap(err, fault.CodeStreamLost, message)
}

func (t *Transport) acquire(ctx context.Context, a netip.AddrPort) (*connection, error) {
	if cause := context.Cause(ctx); cause != nil {
		return nil, fault.Wrap(cause, fault.CodeCancelled, "request canceled before it was sent")
	}
	for c := t.pop(a); c != nil; c = t.pop(a) {
		if time.Since(c.opened) < maxAge && time.Since(c.idle) < maxIdle && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	d := net.Dialer{
		Timeout: dialWait,
	}
	n, err := d.DialContext(ctx, "tcp", a.String())
	if cause := context.Cause(ctx); cause != nil && err != nil {
		return nil, fault.Wrap(cause, fault.CodeCancelled, "request canceled before it was sent")
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBackendUnreachable, "cannot connect")
	}
	c := &connection{
		Conn:   n,
		opened: time.Now(),
	}
	c.reader = bufio.NewReader(c)

	return c, nil
}

func (t *Transport) pop(a netip.AddrPort) *connection {
	t.lock.Lock()
	defer t.lock.Unlock()
	l := t.idle[a]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	l[len(l)-1] = nil
	if len(l) == 1 {
		delete(t.idle, a)
	} else {
		t.idle[a] = l[:len(l)-1]
	}

	return c
}

// release pools c and closes connections to the same address that are past their age.
func (t *Transport) release(a netip.AddrPort, c *connection) {
	c.idle = time.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	l := t.idle[a]
	for len(l) > 0 && (c.idle.Sub(l[0].idle) > maxIdle || c.idle.Sub(l[0].opened) > maxAge) {
		l[0].Close()
		l = l[1:]
	}
	if t.closed || len(l) >= maxPooled || c.idle.Sub(c.opened) > maxAge {
		c.Close()
		t.idle[a] = l

		return
	}
	t.idle[a] = append(l, c)
}
