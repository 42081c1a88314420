package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/http1"
)

const (
	// callTimeout bounds one call; the store answers in milliseconds, so a longer wait means a dead connection.
	callTimeout = 2 * time.Second
	// dialTimeout leaves time for a second attempt within callTimeout.
	dialTimeout = time.Second
	// maxConnAge bounds how long a pooled connection is reused, since an established connection may stop responding for good.
	maxConnAge = 30 * time.Second
	// maxIdleAge bounds how long an unused connection is kept.
	maxIdleAge = 10 * time.Second
	// maxConns bounds the pool.
	maxConns = 64
	// readAttempts bounds the attempts of a read.
	readAttempts = 4
	// backoffBase is the mean of the first pause between attempts.
	backoffBase = 50 * time.Millisecond
)

// calls counts calls by kind and result, for example "get ok" and "put lost".
var calls = expvar.NewMap("ObjectStoreCalls")

// errDial marks a call that failed while connecting, so nothing was sent.
var errDial = errors.New("connection failed")

// Client calls the platform's object store; its methods may be called concurrently.
type Client struct {
	http   *fasthttp.HostClient
	reads  *rate.Limiter
	writes *rate.Limiter
	closed atomic.Bool
}

// New returns a client of the store at address that limits itself to the given calls per second.
func New(address netip.AddrPort, readsPerSecond, writesPerSecond int) *Client {
	return &Client{
		http: &fasthttp.HostClient{
			Addr:                          address.String(),
			Dial:                          dial,
			MaxConns:                      maxConns,
			MaxConnDuration:               maxConnAge,
			MaxIdleConnDuration:           maxIdleAge,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: false,
		},
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), max(1, readsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), max(1, writesPerSecond)),
	}
}

func dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}

	return http1.New(c), nil
}

// Close closes idle connections; later calls fail with code store_unavailable and are not sent.
func (c *Client) Close() {
	c.closed.Store(true)
	c.http.CloseIdleConnections()
}

type call struct {
	kind   string
	method string
	uri    string
	body   []byte
	// match is the If-Match version, 0 for none.
	match int64
	// create sets If-None-Match: *.
	create   bool
	deadline time.Time
}

type reply struct {
	status  int
	version int64
	body    []byte
	retryAt time.Time
}

// do makes one attempt; a non-nil error means that no response was received.
func (c *Client) do(q call) (reply, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + c.http.Addr + q.uri)
	req.Header.SetMethod(q.method)
	if q.body != nil {
		req.SetBody(q.body)
	}
	if q.match > 0 {
		req.Header.Set("If-Match", `"`+strconv.FormatInt(q.match, 10)+`"`)
	}
	if q.create {
		req.Header.Set("If-None-Match", "*")
	}
	err := c.http.DoDeadline(req, resp, q.deadline)
	if err != nil {
		calls.Add(q.kind+" lost", 1)
		if !errors.Is(err, fasthttp.ErrTimeout) {
			fasthttp.ReleaseRequest(req)
			fasthttp.ReleaseResponse(resp)
		}

		return reply{}, err
	}
	r := reply{
		status: resp.StatusCode(),
		body:   append([]byte(nil), resp.Body()...),
	}
	r.version, _ = strconv.ParseInt(strings.Trim(string(resp.Header.Peek("ETag")), `"`), 10, 64)
	if s, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil && s >= 0 {
		r.retryAt = time.Now().Add(time.Duration(s) * time.Second)
	}
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
	calls.Add(q.kind+" "+strconv.Itoa(r.status), 1)

	return r, nil
}

// deadline returns the end of an attempt: limit from now, or earlier if ctx ends earlier.
func deadline(ctx context.Context, limit time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		return d
	}

	return limit
}

// read makes up to readAttempts attempts, with jittered pauses after refusals and lost responses.
func (c *Client) read(ctx context.Context, q call) (reply, error) {
	var last error
	for n := range readAttempts {
		if err := c.waitForToken(ctx, c.reads); err != nil {
			return reply{}, err
		}
		q.deadline = deadline(ctx, time.Now().Add(callTimeout))
		r, err := c.do(q)
		switch {
		case err != nil:
			last = fault.Wrap(err, fault.CodeStoreUnavailable, "the store did not answer")
		case r.status == fasthttp.StatusTooManyRequests || r.status >= fasthttp.StatusInternalServerError:
			last = unavailable(r)
		default:
			return r, nil
		}
		if n+1 < readAttempts && !pause(ctx, backoffBase<<n) {
			break
		}
	}

	return reply{}, last
}

func unavailable(r reply) *fault.Error {
	e := fault.New(fault.CodeStoreUnavailable, "the store refused the call with status "+strconv.Itoa(r.status))
	e.RetryAt = r.retryAt

	return e
}

// waitForToken waits for a token of the rate limiter; an error means that nothing was sent.
func (c *Client) waitForToken(ctx context.Context, l *rate.Limiter) error {
	if c.closed.Load() {
		return fault.New(fault.CodeStoreUnavailable, "the store client is closed")
	}
	if err := l.Wait(ctx); err != nil {
		return fault.Wrap(err, fault.CodeStoreUnavailable, "no call to the store within the rate limit before the deadline")
	}

	return nil
}

// pause waits between 0.5 and 1.5 times mean; it returns false if ctx ended first.
func pause(ctx context.Context, mean time.Duration) bool {
	t := time.NewTimer(mean/2 + rand.N(mean))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func objectURI(key string) string {
	return "/v1/objects/" + url.PathEscape(key)
}

// Get returns the value and version of key; it fails with fault.CodeNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (value []byte, version int64, err error) {
	r, err := c.read(ctx, call{
		kind:   "get",
		method: fasthttp.MethodGet,
		uri:    objectURI(key),
	})
	if err != nil {
		return nil, 0, err
	}
	switch {
	case r.status == fasthttp.StatusNotFound:
		return nil, 0, fault.New(fault.CodeNotFound, "no object "+key)
	case r.status != fasthttp.StatusOK || r.version < 1:
		return nil, 0, unexpected(r)
	}

	return r.body, r.version, nil
}

func unexpected(r reply) error {
	return fault.New(fault.CodeInternal, "unexpected response from the store with status "+strconv.Itoa(r.status))
}

// List returns up to limit entries after a key, or all if limit is 0, and the revision to watch from.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (entries []Entry, revision int64, err error) {
	for {
		q := url.Values{"prefix": {prefix}, "after": {after}}
		if limit > 0 {
			q.Set("limit", strconv.Itoa(limit-len(entries)))
		}
		var l Listing
		if err := c.query(ctx, "list", "/v1/list?"+q.Encode(), &l); err != nil {
			return nil, 0, err
		}
		if len(entries) == 0 {
			// The first page has the earliest revision, so a watch from there misses no change.
			revision = int64(l.Revision)
		}
		entries = append(entries, l.Entries...)
		if !l.More || len(l.Entries) == 0 || limit > 0 && len(entries) >= limit {
			return entries, revision, nil
		}
		after = entries[len(entries)-1].Key
	}
}

func (c *Client) query(ctx context.Context, kind, uri string, v any) error {
	r, err := c.read(ctx, call{
		kind:   kind,
		method: fasthttp.MethodGet,
		uri:    uri,
	})
	if err != nil {
		return err
	}

	return decode(r, v)
}

func decode(r reply, v any) error {
	if r.status != fasthttp.StatusOK {
		return unexpected(r)
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot decode the response from the store")
	}

	return nil
}

// Watch waits until the given time for changes after a revision. It fails with fault.CodeStaleVersion if the store's change
// log no longer reaches back that far, so that the caller has to list again.
func (c *Client) Watch(ctx context.Context, prefix string, since int64, until time.Time) (changes []Change, revision int64, err error) {
	if err := c.waitForToken(ctx, c.reads); err != nil {
		return nil, 0, err
	}
	// Rounded up, since the watch would otherwise end up to a millisecond before until.
	wait := max(0, (time.Until(until) + time.Millisecond - 1).Milliseconds())
	q := url.Values{
		"prefix": {prefix},
		"since":  {strconv.FormatInt(since, 10)},
		"wait":   {strconv.FormatInt(wait, 10)},
	}
	r, err := c.do(call{
		kind:     "watch",
		method:   fasthttp.MethodGet,
		uri:      "/v1/watch?" + q.Encode(),
		deadline: deadline(ctx, time.Now().Add(time.Duration(wait)*time.Millisecond+callTimeout/2)),
	})
	switch {
	case err != nil:
		return nil, 0, fault.Wrap(err, fault.CodeStoreUnavailable, "the store did not answer the watch")
	case r.status == fasthttp.StatusGone:
		return nil, 0, fault.New(fault.CodeStaleVersion, "the revision is older than the store's change log")
	case r.status == fasthttp.StatusTooManyRequests || r.status >= fasthttp.StatusInternalServerError:
		return nil, 0, unavailable(r)
	}
	var l Changes
	if err := decode(r, &l); err != nil {
		return nil, 0, err
	}

	return l.Changes, int64(l.Revision), nil
}
