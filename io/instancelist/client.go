package instancelist

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/membership"
	"tarragonwalk/io/transport"
)

const (
	// pollInterval is the mean time between polls.
	pollInterval = time.Second
	// pollTimeout bounds one poll, so that an unresponsive connection delays the next poll by at most one interval.
	pollTimeout = time.Second
	// maxResponse bounds the list; 1,020 instances take about 250 KB.
	maxResponse = 8 << 20
)

// Client reads the instance list; it is safe for concurrent use.
type Client struct {
	transport *transport.Transport
	address   netip.AddrPort
}

// New returns a client of the instance list at an address.
func New(address netip.AddrPort) *Client {
	return &Client{
		transport: transport.New(),
		address:   address,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.Close()
}

// Fetch returns all instances; a failure has code unavailable, or cancelled if ctx was canceled.
func (c *Client) Fetch(ctx context.Context) ([]membership.Instance, error) {
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetMethod(http.MethodGet)
	q.SetRequestURI("/v1/instances")
	var l membership.InstanceList
	_, err := c.transport.Do(ctx, c.address, q, pollTimeout, maxResponse,
		func(p *fasthttp.Response, _ func(time.Duration)) error {
			if p.StatusCode() != http.StatusOK {
				return fault.New(fault.CodeUnavailable, "the instance list service returned an error status")
			}

			return decode(p.Body(), &l)
		})
	if fault.CodeOf(err) == fault.CodeCancelled {
		return nil, err
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "instance list unavailable")
	}

	return l.Instances, nil
}

// Follow polls every second until ctx ends, and calls on with each list and the time just before it was requested. It skips
// failed polls.
func (c *Client) Follow(ctx context.Context, on func([]membership.Instance, time.Time)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		at := time.Now()
		if l, err := c.Fetch(ctx); err == nil {
			on(l, at)
		}
		// Jitter of up to 10 % in either direction spreads the polls of the instances.
		next := at.Add(pollInterval*9/10 + rand.N(pollInterval/5))
		timer.Reset(time.Until(next))
	}
}

func decode(b []byte, l *membership.InstanceList) error {
	if err := json.Unmarshal(b, l); err != nil {
		return fault.Wrap(err, fault.CodeUnavailable, "invalid instance list")
	}
	names := make(map[string]struct{}, len(l.Instances))
	for _, i := range l.Instances {
		if _, ok := names[i.Name]; ok {
			return fault.New(fault.CodeUnavailable, "instance list has a duplicate name: "+i.Name)
		}
		names[i.Name] = struct{}{}
	}

	return nil
}
