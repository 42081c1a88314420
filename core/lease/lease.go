package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"tarragonwalk/core/fault"
)

const (
	// Term is how long a lease lasts without a renewal.
	Term = 6 * time.Second
	// Renewal is the time between two renewals; two may fail before the term ends.
	Renewal = 2 * time.Second
	// margin is how much earlier than its observers a holder ends its term, as clocks may run at different rates.
	margin = time.Second
)

// objects is the part of the object store that a lease needs.
type objects interface {
	Get(ctx context.Context, key string) (value []byte, version int64, err error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (version int64, err error)
}

// Lease is one instance's side of a named lease; its lock guards its fields and is not held during a store call.
type Lease struct {
	objects     objects
	key         string
	holder      string
	incarnation string
	clock       func() time.Time

	lock        sync.Mutex
	record      Record
	version     int64
	seenAt      time.Time // when version was first seen
	heldUntil   time.Time
	exclusiveAt time.Time // when the term of an earlier holder is certainly over
}

// New returns a lease that is not held.
func New(o objects, key, holder, incarnation string, clock func() time.Time) *Lease {
	return &Lease{
		objects:     o,
		key:         key,
		holder:      holder,
		incarnation: incarnation,
		clock:       clock,
	}
}

// Held returns the fencing token and whether this instance holds the lease at a time.
func (l *Lease) Held(at time.Time) (token int, ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()

	return l.record.Token, at.Before(l.heldUntil)
}

// HeldUntil returns the end of the held term, zero if the lease was never held.
func (l *Lease) HeldUntil() time.Time {
	l.lock.Lock()
	defer l.lock.Unlock()

	return l.heldUntil
}

// ExclusiveAt returns when the term of an earlier holder is certainly over. Until then, receivers that do not check the fencing
// token must not be sent any orders.
func (l *Lease) ExclusiveAt() time.Time {
	l.lock.Lock()
	defer l.lock.Unlock()

	return l.exclusiveAt
}

// Step renews the lease if it is held. Otherwise it reads the record and acquires the lease if possible. It makes at most two
// store calls.
func (l *Lease) Step(ctx context.Context) error {
	if _, ok := l.Held(l.clock()); ok {
		return l.renew(ctx)
	}
	if err := l.observe(ctx); err != nil {
		return err
	}

	return l.acquire(ctx)
}

// Release lets other instances acquire the lease at once. The caller must have stopped using it.
func (l *Lease) Release(ctx context.Context) error {
	l.lock.Lock()
	_, held := l.record.Token, l.clock().Before(l.heldUntil)
	l.heldUntil = time.Time{}
	record, version := l.record, l.version
	l.lock.Unlock()
	if !held {
		return nil
	}
	record.Released = true
	record.Counter++
	_, err := l.put(ctx, record, version)

	return err
}

func (l *Lease) renew(ctx context.Context) error {
	sentAt := l.clock()
	l.lock.Lock()
	record, version := l.record, l.version
	l.lock.Unlock()
	record.Counter++
	next, err := l.put(ctx, record, version)
	if fault.CodeOf(err) == fault.CodeConflict {
		// Another instance has the lease, or an earlier renewal took effect but its response was lost. The next step reads which.
		l.clearHeld()
	}
	if err != nil {
		return err
	}
	l.setHeld(record, next, sentAt)

	return nil
}

func (l *Lease) observe(ctx context.Context) error {
	value, version, err := l.objects.Get(ctx, l.key)
	if fault.CodeOf(err) == fault.CodeNotFound {
		value, version, err = nil, 0, nil
	}
	if err != nil {
		return err
	}
	record := Record{}
	if version > 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			return fault.Wrap(err, fault.CodeInternal, "the lease record "+l.key+" cannot be decoded")
		}
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if version != l.version || l.seenAt.IsZero() {
		l.record, l.version, l.seenAt = record, version, l.clock()
	}

	return nil
}

func (l *Lease) acquire(ctx context.Context) error {
	sentAt := l.clock()
	l.lock.Lock()
	record, version := l.record, l.version
	// An earlier process with the same name may still run while the platform replaces it, so only a record of this very
	// incarnation can be taken without waiting for the end of the term.
	ownRecord := record.Holder == l.holder && record.Incarnation == l.incarnation
	mayAcquire := version == 0 || record.Released || ownRecord || sentAt.Sub(l.seenAt) >= Term
	// This is set before the write: if the write succeeds but its response is lost, the next attempt finds this instance's own
	// record and would not know of the earlier holder.
	if mayAcquire && version > 0 && !record.Released && !ownRecord {
		l.exclusiveAt = sentAt.Add(Term)
	}
	l.lock.Unlock()
	if !mayAcquire {
		return nil
	}
	record = Record{
		Holder:      l.holder,
		Incarnation: l.incarnation,
		Token:       record.Token + 1,
		Counter:     record.Counter + 1,
	}
	next, err := l.put(ctx, record, version)
	if fault.CodeOf(err) == fault.CodeConflict {
		return nil
	}
	if err != nil {
		return err
	}
	l.setHeld(record, next, sentAt)

	return nil
}

func (l *Lease) put(ctx context.Context, record Record, version int64) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, fault.Wrap(err, fault.CodeInternal, "cannot encode the lease record")
	}

	return l.objects.Put(ctx, l.key, value, version)
}

func (l *Lease) setHeld(record Record, version int64, sentAt time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.record, l.version, l.seenAt = record, version, sentAt
	l.heldUntil = sentAt.Add(Term - margin)
}

func (l *Lease) clearHeld() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.heldUntil = time.Time{}
}
