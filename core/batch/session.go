package batch

import (
	"context"
	"encoding/json"
	"time"

	"tarragonwalk/core/claim"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

// session is the record in the store that shows that this instance is alive. Other instances may take its claims over if it
// is not renewed.
type session struct {
	objects     objects
	name        string
	incarnation string
	now         func() time.Time

	// semaphore is held during a write, so that two renewals do not conflict. Unlike a mutex, it lets a waiter give up when
	// its context ends.
	semaphore chan struct{}
	version   int64
	counter   int
	written   bool
	renewedAt time.Time
}

// ensure renews the session unless the last renewal was sent less than claim.Renewal ago. It must succeed before each claim:
// an idle session is not renewed, so that other instances may consider it expired.
func (s *session) ensure(ctx context.Context) error {
	select {
	case s.semaphore <- struct{}{}:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.CodeStoreUnavailable, "the session was not renewed in time")
	}
	defer func() { <-s.semaphore }()
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
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the session")
	}
	version, err := s.objects.Put(ctx, job.SessionKey(s.name), value, s.version)
	if c := fault.CodeOf(err); c == fault.CodeConflict || c == fault.CodeOutcomeUnknown {
		version, err = s.reconcile(ctx, value)
	}
	if err != nil {
		return err
	}
	s.version = version
	s.written = true
	s.renewedAt = sent

	return nil
}

// reconcile reads the record after a conflict or a lost answer and repeats the write unless it took effect. It fails if a newer
// process of this instance has written the record.
func (s *session) reconcile(ctx context.Context, value []byte) (int64, error) {
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
		// A newer process of this instance has taken the session; this one must not claim any more.
		return 0, fault.New(fault.CodeFenced, "another incarnation holds the session")
	}

	return s.objects.Put(ctx, job.SessionKey(s.name), value, version)
}

// remove deletes the record if this incarnation wrote it last.
func (s *session) remove(ctx context.Context) error {
	select {
	case s.semaphore <- struct{}{}:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.CodeStoreUnavailable, "the session was not removed in time")
	}
	defer func() { <-s.semaphore }()
	if !s.written {
		return nil
	}
	err := s.objects.Delete(ctx, job.SessionKey(s.name), s.version)
	if c := fault.CodeOf(err); c == fault.CodeNotFound || c == fault.CodeConflict {
		return nil
	}

	return err
}
