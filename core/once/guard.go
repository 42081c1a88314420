package once

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

// objects is the part of the object store's client that Guard uses.
type objects interface {
	Get(ctx context.Context, key string) (value []byte, version int64, err error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (version int64, err error)
}

const (
	// valueLimit is the store's limit on the size of a value.
	valueLimit = 1 << 20
	// saveTimeout bounds the writes after the call, which continue even if the caller has disconnected.
	saveTimeout = 5 * time.Second
	// retryPause is the pause before a write is repeated.
	retryPause = 100 * time.Millisecond
)

// Guard claims a request in the store before it is sent and stores its outcome.
type Guard struct {
	objects objects
	now     func() time.Time
}

// record is the claim of a request and, once it has run, its outcome.
type record struct {
	Operation string
	Digest    string
	State     string
	At        time.Time
	Status    int `json:",omitempty"`
	// ContentType is returned with the body.
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Trimmed is set if the body was too large to store.
	Trimmed bool `json:",omitempty"`
}

// The states of a record.
const (
	stateClaimed = "claimed"
	stateDone    = "done"
	stateNotRun  = "not_run"
)

// New returns a guard that uses now as its clock.
func New(o objects, now func() time.Time) *Guard {
	return &Guard{
		objects: o,
		now:     now,
	}
}

// Do runs call unless a request with the same key was claimed before. Such a resend gets the stored outcome, without the body
// if the encoded outcome exceeded 1 MiB. It fails with code outcome_unknown if no outcome is stored, and with conflict if its
// digest differs. Failures before the call and calls that reached no backend server have code not_run.
func (g *Guard) Do(
	ctx context.Context, workspace, key, digest string,
	call func(context.Context) (status int, contentType string, body []byte, err error),
) (status int, contentType string, body []byte, err error) {
	storeKey := job.OnceKey(workspace, key)
	own := record{
		Operation: rand.Text(),
		Digest:    digest,
		State:     stateClaimed,
		At:        g.now().UTC(),
	}
	version, prior, err := g.claim(ctx, storeKey, own)
	if err != nil {
		return 0, "", nil, err
	}
	if prior != nil {
		return replay(prior, digest)
	}
	status, contentType, body, err = call(ctx)
	if err != nil && fault.NotRun(err) {
		own.State = stateNotRun
		if e := g.saveOutcome(ctx, storeKey, own, version); e != nil {
			// The claim stays, so that a resend gets outcome_unknown; for this caller, not_run is still correct.
			return 0, "", nil, fault.Wrap(err, fault.CodeNotRun, "the request did not run, but its key may stay claimed")
		}

		return 0, "", nil, fault.Wrap(err, fault.CodeNotRun, "the request did not run")
	}
	if err != nil {
		return 0, "", nil, fault.Wrap(err, fault.CodeOutcomeUnknown, "the request was sent and its outcome is unknown")
	}
	own.State = stateDone
	own.Status = status
	own.ContentType = contentType
	own.Body = body
	// The caller gets the outcome even if it could not be stored; a resend then gets outcome_unknown.
	_ = g.saveOutcome(ctx, storeKey, own, version)

	return status, contentType, body, nil
}

// claim creates the record, or replaces one in state not_run. It returns the version of the claim or, if there is one, the
// record of an earlier request.
func (g *Guard) claim(ctx context.Context, key string, own record) (int64, *record, error) {
	value, err := json.Marshal(own)
	if err != nil {
		return 0, nil, fault.Wrap(err, fault.CodeInternal, "cannot encode the claim")
	}
	version := int64(0)
	// Five attempts suffice: another one is needed only if an answer was lost or another request has just changed the record.
	for range 5 {
		v, err := g.objects.Put(ctx, key, value, version)
		if err == nil {
			return v, nil, nil
		}
		put := fault.CodeOf(err)
		if put != fault.CodeConflict && put != fault.CodeOutcomeUnknown {
			return 0, nil, fault.Wrap(err, fault.CodeNotRun, "the request could not be claimed")
		}
		prior, v, err := g.read(ctx, key)
		switch {
		case fault.CodeOf(err) == fault.CodeNotFound:
			version = 0
		case err != nil && put == fault.CodeConflict:
			return 0, nil, fault.Wrap(err, fault.CodeOutcomeUnknown, "the key is claimed and its outcome cannot be read")
		case err != nil:
			// The claim may exist, but nothing was sent. A resend may get outcome_unknown.
			return 0, nil, fault.Wrap(err, fault.CodeNotRun, "the request could not be claimed")
		case prior.Operation == own.Operation:
			return v, nil, nil
		case prior.State == stateNotRun && prior.Digest == own.Digest:
			version = v
		default:
			return 0, prior, nil
		}
	}

	return 0, nil, fault.New(fault.CodeNotRun, "the request could not be claimed")
}

func (g *Guard) read(ctx context.Context, key string) (*record, int64, error) {
	value, version, err := g.objects.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, 0, fault.Wrap(err, fault.CodeInternal, "cannot decode a claim")
	}

	return &r, version, nil
}

// replay answers a resend from the record of the first request.
func replay(r *record, digest string) (int, string, []byte, error) {
	switch {
	case r.Digest != digest:
		return 0, "", nil, fault.New(fault.CodeConflict, "the key was used for another request")
	case r.State == stateDone:
		return r.Status, r.ContentType, r.Body, nil
	default:
		return 0, "", nil, fault.New(fault.CodeOutcomeUnknown, "the request was sent before and its outcome is unknown")
	}
}

// saveOutcome writes the record after the call and repeats the write until it succeeds or saveTimeout has passed. Only this
// operation changes its claim, so a conflict means that an earlier attempt took effect.
func (g *Guard) saveOutcome(ctx context.Context, key string, r record, version int64) error {
	value, err := json.Marshal(r)
	if err == nil && len(value) > valueLimit {
		r.Body = nil
		r.Trimmed = true
		value, err = json.Marshal(r)
	}
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the outcome")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), saveTimeout)
	defer cancel()
	for {
		_, err = g.objects.Put(ctx, key, value, version)
		if c := fault.CodeOf(err); c == "" || c == fault.CodeConflict {
			return nil
		}
		t := time.NewTimer(retryPause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()

			return err
		}
	}
}
