package batch

import (
	"context"
	"encoding/json"
	"time"

	"tarragonwalk/core/claim"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

// session is the instance's own session record.
type session struct {
	objects     objects
	name        string
	incarnation string
	now         func() time.Time

	// turn holds a value during the write, so that two renewals do not conflict with each other; a wait ends with its
	// context.
	turn      chan struct{}
	version   int64
	counter   int
	written   bool
	renewedAt time.Time
}

// ensure renews the session if the last renewal was sent Renewal ago. It must succeed before each claim: observers may
// have seen an idle session unchanged for a long time.
func (s *session) ensure(ctx context.Context) error {
	select {
	case s.turn <- struct{}{}:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.CodeStoreUnavailable, "the session was not renewed in time")
	}
	defer func() { <-s.turn }()
	sent := s.now()
	if s.written && sent.Sub(s.renewedAt) < claim.Renewal {
		return nil
	}
	s.counter++
	value, err := json.Marshal(job.Session{
		Instance:    s.name,
		Incarnation: s.incarnation,
		Counter:     s.counter,
	})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "encode the session")
	}
	version, err := s.objects.Put(ctx, job.SessionKey(s.name), value, s.version)
	if c := fault.CodeOf(err); c == fault.CodeConflict || c == fault.CodeOutcomeUnknown {
		version, err = s.settle(ctx, value)
	}
	if err != nil {
		return err
	}
	s.version = version
	s.written = true
	s.renewedAt = sent

	return nil
}

// settle reads the record after a conflict or a lost answer and writes it again if needed.
func (s *session) settle(ctx context.Context, value []byte) (int64, error) {
	old, version, err := s.objects.Get(ctx, job.SessionKey(s.name))
	if fault.CodeOf(err) == fault.CodeNotFound {
		version, err = 0, nil
	}
	if err != nil {
		return 0, err
	}
	if string(old) == string(value) {
		return version, nil
	}
	var o job.Session
	if s.written && version > 0 && json.Unmarshal(old, &o) == nil && o.Incarnation != s.incarnation {
		// A newer process with this name took the session; this one must not claim any more.
		return 0, fault.New(fault.CodeFenced, "another incarnation holds the session")
	}

	return s.objects.Put(ctx, job.SessionKey(s.name), value, version)
}

// remove deletes the record if this incarnation wrote it last.
func (s *session) remove(ctx context.Context) error {
	select {
	case s.turn <- struct{}{}:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.CodeStoreUnavailable, "the session was not removed in time")
	}
	defer func() { <-s.turn }()
	if !s.written {
		return nil
	}
	err := s.objects.Delete(ctx, job.SessionKey(s.name), s.version)
	if c := fault.CodeOf(err); c == fault.CodeNotFound || c == fault.CodeConflict {
		return nil
	}

	return err
}
