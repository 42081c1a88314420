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
	"tarragonwalk/io/http1"
)

const (
	// dialTimeout is enough to connect over a 12 ms link on which one SYN is lost; the kernel sends it again after one second.
	dialTimeout = 1500 * time.Millisecond
	// maxConnectionAge bounds how long a pooled connection is used, so that one whose network path fails is eventually replaced.
	maxConnectionAge = 30 * time.Second
	// maxIdleTime is below the idle timeout of common servers.
	maxIdleTime = 5 * time.Second
	// maxIdlePerAddress bounds idle connections for each address.
	maxIdlePerAddress = 64
	// maxBufferedBytes bounds the bytes of a streamed body that are read before use is called.
	maxBufferedBytes = 64 << 10
	// maxDrainBytes bounds the bytes that are read and discarded after use returns, to make the connection reusable.
	maxDrainBytes = 4 << 10
	// drainTimeout bounds the wait for the end of a response after use returns.
	drainTimeout = 100 * time.Millisecond
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

// Do sends q to a and calls use with the response. With a positive maxBody, the response holds its whole body, and a longer or
// truncated body is a failure; with 0, it has a body stream, and use has to detect its early end. The response has to arrive
// within responseTimeout; use extends this deadline for further reads with the function that it gets. Sent reports whether any
// byte may have been sent. Failures have code backend_unreachable (only before sending), backend_silent, stream_lost or
// cancelled, or are the error of use.
func (t *Transport) Do(ctx context.Context, a netip.AddrPort, q *fasthttp.Request, responseTimeout time.Duration,
	maxBody int, use func(p *fasthttp.Response, extend func(time.Duration)) error,
) (sent bool, err error) {
	c, err := t.acquire(ctx, a)
	if err != nil {
		return false, err
	}
	c.mayHaveSent = false
	c.deadline = time.Now().Add(responseTimeout)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	p := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(p)
	p.StreamBody = maxBody == 0
	p.SkipBody = q.Header.IsHead()
	q.SetHost(a.String())
	c.Begin(string(q.Header.Method()))
	reusable, err := exchange(c, q, p, maxBody, use)
	sent = c.mayHaveSent // read before the connection goes back to the pool, since the next request resets it
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
		return false, WrapError(err, "cannot send the request")
	}
	limit := maxBody
	if limit == 0 {
		limit = maxBufferedBytes
	}
	if err = p.ReadLimitBody(c.reader, limit); err != nil {
		return false, WrapError(err, "cannot read the response")
	}
	defer p.CloseBodyStream() //nolint:errcheck // Only returns the reader to its pool.
	err = use(p, func(d time.Duration) { c.deadline = time.Now().Add(d) })
	if err != nil {
		return false, err
	}
	if p.BodyStream() == nil {
		return !p.ConnectionClose(), nil
	}
	c.deadline = time.Now().Add(drainTimeout)
	n, drainErr := io.Copy(io.Discard, io.LimitReader(p.BodyStream(), maxDrainBytes))

	return drainErr == nil && n < maxDrainBytes && !p.ConnectionClose(), nil
}

// WrapError wraps err with code backend_silent if it is a timeout, else with stream_lost; a *fault.Error is returned unchanged.
func WrapError(err error, message string) error {
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
		if time.Since(c.opened) < maxConnectionAge && time.Since(c.idleSince) < maxIdleTime && c.reusable() {
			return c, nil
		}
		c.Close()
	}
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	n, err := d.DialContext(ctx, "tcp", a.String())
	if cause := context.Cause(ctx); cause != nil && err != nil {
		return nil, fault.Wrap(cause, fault.CodeCancelled, "request canceled before it was sent")
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBackendUnreachable, "cannot connect")
	}
	c := &connection{
		Conn:   http1.New(n),
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

// release puts c into the pool and closes pooled connections to the same address that are too old or were idle for too long.
func (t *Transport) release(a netip.AddrPort, c *connection) {
	c.idleSince = time.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	l := t.idle[a]
	for len(l) > 0 && (c.idleSince.Sub(l[0].idleSince) > maxIdleTime || c.idleSince.Sub(l[0].opened) > maxConnectionAge) {
		l[0].Close()
		l = l[1:]
	}
	if t.closed || len(l) >= maxIdlePerAddress || c.idleSince.Sub(c.opened) > maxConnectionAge {
		c.Close()
		t.idle[a] = l

		return
	}
	t.idle[a] = append(l, c)
}
