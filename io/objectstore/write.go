package objectstore

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonwalk/core/fault"
)

// writeAttempts bounds the attempts of a conditional write; it is resent if a read-back shows that it has had no effect yet.
const writeAttempts = 3

// outcome is what a read-back shows about a write whose response was lost.
type outcome int

const (
	undecided outcome = iota
	applied
	refused
	pending
)

// Put writes value if the version of key is ifVersion, 0 for a key that must not exist, and returns the new version.
// Different writes of a key need different values, for example by an operation ID, since the read-back after a lost response
// recognizes a write by its value.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion int64) (version int64, err error) {
	if value == nil {
		value = []byte{}
	}

	return c.write(ctx, call{
		kind:   "put",
		method: fasthttp.MethodPut,
		uri:    objectURI(key),
		body:   value,
		match:  ifVersion,
		create: ifVersion == 0,
	}, func(ctx context.Context) (outcome, int64) {
		found, version, err := c.Get(ctx, key)
		switch {
		case fault.CodeOf(err) == fault.CodeNotFound && ifVersion == 0:
			return pending, 0
		case err != nil:
			return undecided, 0
		case version == ifVersion:
			return pending, version
		case bytes.Equal(found, value):
			return applied, version
		case version == ifVersion+1:
			// Versions only increase, so exactly one other write took effect.
			return refused, version
		default:
			return undecided, version
		}
	})
}

// Delete removes key if its version is ifVersion, or any version if ifVersion is 0.
func (c *Client) Delete(ctx context.Context, key string, ifVersion int64) error {
	_, err := c.write(ctx, call{
		kind:   "delete",
		method: fasthttp.MethodDelete,
		uri:    objectURI(key),
		match:  ifVersion,
	}, func(ctx context.Context) (outcome, int64) {
		_, version, err := c.Get(ctx, key)
		switch {
		case fault.CodeOf(err) == fault.CodeNotFound:
			return applied, 0
		case err != nil || ifVersion == 0:
			return undecided, 0
		case version == ifVersion:
			return pending, version
		case version == ifVersion+1:
			return refused, version
		default:
			return undecided, version
		}
	})

	return err
}

// write sends a conditional write; if the response is lost, check determines the outcome by a read-back. Resending is safe:
// the condition lets the write take effect only once.
func (c *Client) write(ctx context.Context, q call, check func(context.Context) (outcome, int64)) (int64, error) {
	ambiguous := false
	var last error
	for n := range writeAttempts {
		if n > 0 && !pause(ctx, backoffBase<<n) {
			break
		}
		if err := c.waitForToken(ctx, c.writes); err != nil {
			if ambiguous {
				break
			}

			return 0, err
		}
		q.deadline = attemptDeadline(ctx)
		r, err := c.do(q)
		if err == nil && r.status < fasthttp.StatusInternalServerError || r.status == fasthttp.StatusServiceUnavailable {
			if done, version, err := outcomeOf(r, ambiguous); done {
				return version, err
			}
		} else if err != nil && (errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns)) {
			if !ambiguous {
				return 0, fault.Wrap(err, fault.CodeStoreUnavailable, "the store cannot be reached; nothing was written")
			}
		}
		ambiguous = true
		last = err
		found, version := check(ctx)
		switch found {
		case applied:
			return version, nil
		case refused:
			return 0, conflict(version)
		case undecided:
			return 0, fault.Wrap(last, fault.CodeOutcomeUnknown, "the store's response was lost and the read-back is inconclusive")
		case pending:
		}
	}

	return 0, fault.Wrap(last, fault.CodeOutcomeUnknown, "the store's responses were lost")
}

// outcomeOf reports whether a response determines the outcome. A refusal does not if the response to an earlier attempt was
// lost: that attempt may have taken effect.
func outcomeOf(r reply, ambiguous bool) (done bool, version int64, err error) {
	switch {
	case r.status < fasthttp.StatusMultipleChoices:
		return true, r.version, nil
	case ambiguous:
		return false, 0, nil
	case r.status == fasthttp.StatusPreconditionFailed:
		return true, 0, conflict(0)
	case r.status == fasthttp.StatusNotFound:
		return true, 0, fault.New(fault.CodeNotFound, "no such object")
	case r.status == fasthttp.StatusRequestEntityTooLarge:
		return true, 0, fault.New(fault.CodeTooLarge, "the value is larger than the store accepts")
	case r.status == fasthttp.StatusTooManyRequests || r.status == fasthttp.StatusServiceUnavailable:
		return true, 0, unavailable(r)
	default:
		return true, 0, unexpected(r)
	}
}

// attemptDeadline returns the end of an attempt, which leaves at least half of the remaining time for the read-back.
func attemptDeadline(ctx context.Context) time.Time {
	now := time.Now()
	limit := now.Add(callTimeout)
	if d, ok := ctx.Deadline(); ok {
		if half := now.Add(d.Sub(now) / 2); half.Before(limit) {
			return half
		}
	}

	return limit
}

func conflict(version int64) error {
	e := fault.New(fault.CodeConflict, "the object has another version")
	e.Version = version

	return e
}
