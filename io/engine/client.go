package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/io/transport"
)

// maxResponse bounds the body of a response that is not streamed.
const maxResponse = 64 << 10

// Client calls model engines; it is safe for concurrent use.
type Client struct {
	transport    *transport.Transport
	firstTimeout time.Duration
	eventTimeout time.Duration
}

// New returns a client that fails with code backend_silent when the first event of a stream, or the response to another
// call, takes longer than firstTimeout, or when a later event takes longer than eventTimeout after the one before.
func New(firstTimeout, eventTimeout time.Duration) *Client {
	return &Client{
		transport:    transport.New(),
		firstTimeout: firstTimeout,
		eventTimeout: eventTimeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.Close()
}

// streamHeader names the stream in a request and in its response.
const streamHeader = "X-Stream-Id"

// Stream runs r on the engine at a, starting after r.Offset, and calls on for each event in order, the last one with Finish
// set. An error from on is returned unchanged and closes the connection, which cancels the stream on the engine.
func (c *Client) Stream(ctx context.Context, a netip.AddrPort, r *inference.Request,
	on func(inference.Event) error,
) error {
	body, err := streamBody(r)
	if err != nil {
		return err
	}
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetMethod(http.MethodPost)
	q.SetRequestURI("/v1/chat/completions")
	q.Header.SetContentType("application/json")
	q.Header.Set("Accept", "text/event-stream")
	q.Header.Set(streamHeader, r.Stream)
	q.SetBodyRaw(body)
	var stopped error
	_, err = c.transport.Do(ctx, a, q, c.firstTimeout, 0, func(p *fasthttp.Response, extend func(time.Duration)) error {
		if err := statusFailure(p); err != nil {
			return err
		}

		// A proxy or an engine that mixes up connections must not deliver one caller's answer to another.
		if id := p.Header.Peek(streamHeader); len(id) > 0 && string(id) != r.Stream {
			return fault.New(fault.CodeStreamLost, "the response belongs to another stream")
		}
		if p.BodyStream() == nil {
			return fault.New(fault.CodeStreamLost, "response without a body")
		}

		return c.events(newSSE(p.BodyStream()), r.Offset, extend, func(e inference.Event) error {
			stopped = on(e)

			return stopped
		})
	})
	if stopped != nil {
		return stopped
	}

	return err
}

// Cancel asks the engine to end a stream; it also succeeds if the engine does not know the stream.
func (c *Client) Cancel(ctx context.Context, a netip.AddrPort, stream string) error {
	_, err := c.call(ctx, a, http.MethodPost, "/v1/streams/"+url.PathEscape(stream)+"/cancel", nil, nil)

	return err
}

// Load returns the engine's own load report, which may be out of date.
func (c *Client) Load(ctx context.Context, a netip.AddrPort) (inference.Load, error) {
	answer, err := c.call(ctx, a, http.MethodGet, "/v1/load", nil, nil)
	if err != nil {
		return inference.Load{}, err
	}
	var l inference.Load
	if err := json.Unmarshal(answer, &l); err != nil {
		return inference.Load{}, fault.Wrap(err, fault.CodeBackendFailed, "invalid load report")
	}

	return l, nil
}

// Order sends an order to the engine; code fenced means that a later lease holder has already sent one.
func (c *Client) Order(ctx context.Context, a netip.AddrPort, o inference.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.CodeInvalid, "invalid order")
	}
	_, err = c.call(ctx, a, http.MethodPost, "/v1/orders", map[string]string{
		"X-Fencing-Token": strconv.Itoa(o.FencingToken),
	}, body)

	return err
}

// events reads up to the last event, drops duplicates and fails on a gap in the offsets.
func (c *Client) events(s *sse, seen int, extend func(time.Duration), on func(inference.Event) error) error {
	for {
		m, err := s.next()
		if errors.Is(err, io.EOF) {
			return fault.New(fault.CodeStreamLost, "stream ended before its last event")
		}
		if err != nil {
			return transport.WrapError(err, "stream broken")
		}
		if string(m.data) == "[DONE]" {
			return fault.New(fault.CodeStreamLost, "stream ended without a finish reason")
		}
		e, err := decode(m)
		if err != nil {
			return err
		}
		// A finish reason may arrive without a token, with the offset of the last token.
		end := e.Finish != "" && e.Text == "" && e.Offset == seen
		switch {
		case e.Offset > seen+1:
			return fault.New(fault.CodeStreamLost, "gap in token offsets")
		case e.Offset <= seen && !end:
			continue
		}
		seen = e.Offset
		if err := on(e); err != nil {
			return err
		}
		if e.Finish != "" {
			return nil
		}
		extend(c.eventTimeout)
	}
}

// call performs one short request; it fails with code outcome_unknown if the response is lost.
func (c *Client) call(ctx context.Context, a netip.AddrPort, method, path string, header map[string]string,
	body []byte,
) ([]byte, error) {
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetMethod(method)
	q.SetRequestURI(path)
	q.URI().DisablePathNormalizing = true
	for k, v := range header {
		q.Header.Set(k, v)
	}
	if body != nil {
		q.Header.SetContentType("application/json")
		q.SetBodyRaw(body)
	}
	var answer []byte
	_, err := c.transport.Do(ctx, a, q, c.firstTimeout, maxResponse, func(p *fasthttp.Response, _ func(time.Duration)) error {
		status := p.StatusCode()
		if status == http.StatusConflict || status == http.StatusPreconditionFailed {
			return fault.New(fault.CodeFenced, "order has a stale fencing token")
		}
		if method == http.MethodPost && body == nil && status == http.StatusNotFound {
			return nil
		}
		if err := statusFailure(p); err != nil {
			return err
		}
		answer = append([]byte{}, p.Body()...)

		return nil
	})
	if fault.CodeOf(err) == fault.CodeStreamLost {
		return nil, fault.Wrap(err, fault.CodeOutcomeUnknown, "response lost")
	}

	return answer, err
}
