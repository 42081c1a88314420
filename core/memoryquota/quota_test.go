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
