package memoryquota

import (
	"context"
	"expvar"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"tarragonwalk/core/fault"
)

const (
	// freeBytes of each message are not counted, so that ordinary messages never wait.
	freeBytes = 8 << 10
	// maxWait is how long a message may wait for memory. Callers give an attempt up whose request is not read in time.
	maxWait = 250 * time.Millisecond
)

var errFull = fault.New(fault.CodeNotRun, "there is no memory for the request now")

// reservations counts the reservations by kind and outcome.
var reservations = expvar.NewMap("MemoryReservations")

// Quota is a number of bytes that are reserved before they are used. It is safe for concurrent use.
type Quota struct {
	kind  string
	size  int64
	bytes *semaphore.Weighted
}

// New returns a quota of a number of bytes for one kind of message.
func New(kind string, size int) *Quota {
	return &Quota{
		kind:  kind,
		size:  int64(size),
		bytes: semaphore.NewWeighted(int64(size)),
	}
}

// Reserve waits for a moment until there is memory for a message of a size in bytes; a larger one than the quota takes all of it. Release has
// to be called once the message is no longer needed. The failure has code not_run.
func (q *Quota) Reserve(ctx context.Context, size int) (release func(), err error) {
	_, release, err = q.ReserveMost(ctx, size)

	return release, err
}

// ReserveMost is Reserve for a message of which only the largest possible size is known. Shrink gives back what is more than its size, and
// must not be called together with release.
func (q *Quota) ReserveMost(ctx context.Context, most int) (shrink func(size int), release func(), err error) {
	held := min(int64(most), q.size)
	if held <= freeBytes {
		return func(int) {}, func() {}, nil
	}
	outcome := "at once"
	if !q.bytes.TryAcquire(held) {
		outcome = "waited"
		ctx, cancel := context.WithTimeout(ctx, maxWait)
		defer cancel()
		if q.bytes.Acquire(ctx, held) != nil {
			reservations.Add(q.kind+" refused", 1)

			return nil, nil, errFull
		}
	}
	reservations.Add(q.kind+" "+outcome, 1)
	shrink = func(size int) {
		if size <= freeBytes {
			size = 0
		}
		if rest := held - int64(size); rest > 0 {
			q.bytes.Release(rest)
			held -= rest
		}
	}

	return shrink, sync.OnceFunc(func() { shrink(0) }), nil
}
