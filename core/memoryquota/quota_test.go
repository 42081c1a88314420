package memoryquota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

// Guards against messages that take more memory than there is, against ones that wait for long or although they are small, and against
// memory that is not given back.
func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := New("test", 100<<10)
		endFirst, err := q.Reserve(t.Context(), 60<<10)
		is.NoErr(err)
		endSmall, err := q.Reserve(t.Context(), freeBytes)
		is.NoErr(err)
		began := time.Now()
		_, err = q.Reserve(t.Context(), 41<<10)
		is.Equal(fault.CodeOf(err), fault.CodeNotRun)
		is.Equal(time.Since(began), maxWait)
		time.AfterFunc(maxWait/2, endFirst)
		endLargest, err := q.Reserve(t.Context(), 1<<30)
		is.NoErr(err)
		is.Equal(time.Since(began), maxWait+maxWait/2)
		endFirst() // a second call has no effect
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = q.Reserve(ctx, freeBytes+1)
		is.Equal(fault.CodeOf(err), fault.CodeNotRun)
		endSmall()
		endLargest()
		end, err := q.Reserve(t.Context(), 100<<10)
		is.NoErr(err)
		end()
	})
}

// Guards against a message of unknown size that keeps the memory of the largest one, and against memory that is given back twice.
func TestReserveMost(t *testing.T) {
	is := is.New(t)
	const size = 100 << 10
	q := New("test", size)
	for _, c := range []struct{ actual, kept int }{{20 << 10, 20 << 10}, {freeBytes, 0}, {2 * size, size}} {
		shrink, release, err := q.ReserveMost(t.Context(), 2*size)
		is.NoErr(err)
		is.True(!q.bytes.TryAcquire(1))
		shrink(c.actual)
		shrink(c.actual)
		is.True(!q.bytes.TryAcquire(int64(size - c.kept + 1)))
		is.True(q.bytes.TryAcquire(int64(size - c.kept)))
		q.bytes.Release(int64(size - c.kept))
		release()
		release()
		is.True(q.bytes.TryAcquire(size))
		q.bytes.Release(size)
	}
}
