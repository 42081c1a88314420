package service

import (
	"context"
	"net/netip"
	"net/textproto"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/transport"
)

// maxResponse bounds the body of a response, which is held in memory.
const maxResponse = 16 << 20

// Client calls plain HTTP services and never repeats a call; it is safe for concurrent use.
type Client struct {
	transport *transport.Transport
	timeout   time.Duration
}

// New returns a client that waits up to timeout for the whole response to a call.
func New(timeout time.Duration) *Client {
	return &Client{
		transport: transport.New(),
		timeout:   timeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.Close()
}

// requestHeader carries the request ID; if a service returns it, it must match.
const requestHeader = "X-Request-Id"

// Call sends one request; path may include a query. Codes backend_unreachable, invalid and cancelled mean that nothing was
// sent; if the response is missing or incomplete after that, the code is outcome_unknown. A response with any status is a
// success.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, method, path string, header map[string]string,
	body []byte,
) (status int, answer []byte, err error) {
	if !validMethod(method) || !strings.HasPrefix(path, "/") || strings.ContainsFunc(path, func(r rune) bool {
		return r <= ' ' || r == 0x7f
	}) {
		return 0, nil, fault.New(fault.CodeInvalid, "invalid method or path")
	}
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetMethod(method)
	q.SetRequestURI(path)
	q.URI().DisablePathNormalizing = true
	for k, v := range header {
		if !connectionHeader(k) {
			q.Header.Set(k, v)
		}
	}
	q.SetBodyRaw(body)
	sent, err := c.transport.Do(ctx, address, q, c.timeout, maxResponse,
		func(p *fasthttp.Response, _ func(time.Duration)) error {
			// A response to another request does not show whether this one has run.
			if id := p.Header.Peek(requestHeader); len(id) > 0 && string(id) != header[requestHeader] {
				return fault.New(fault.CodeOutcomeUnknown, "the response belongs to another request")
			}
			status = p.StatusCode()
			answer = append([]byte{}, p.Body()...)

			return nil
		})
	if err != nil && sent {
		return 0, nil, fault.Wrap(err, fault.CodeOutcomeUnknown, "response lost after the request was sent")
	}

	return status, answer, err
}

// connectionHeader reports whether a header belongs to the connection; a value from the caller would break the framing.
func connectionHeader(name string) bool {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Host", "Connection", "Content-Length", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Keep-Alive",
		"Expect", "Proxy-Connection":
		return true
	default:
		return false
	}
}

func validMethod(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r < 'A' || r > 'Z' })
}
