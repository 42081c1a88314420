package addresses

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// expecting is a cluster that keeps which others were listed last.
type expecting struct {
	*node
	others []string
}

func (e *expecting) Expect(others []string) { e.set(func() { e.others = others }) }

func (e *expecting) found(other *expecting) (found bool) {
	e.set(func() { found = slices.Contains(e.others, other.name) })

	return found
}

// reading is a store that counts reads of single objects.
type reading struct {
	*memory
	reads atomic.Int64
}

func (r *reading) Read(ctx context.Context, kind, name string, value any) (int64, error) {
	r.reads.Add(1)

	return r.memory.Read(ctx, kind, name, value)
}

// Guards against more than two calls to the store for each instance that starts, and against two instances that start at the same time
// and do not find each other.
func TestCallsOfJoin(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, m *memory) {
		const instances = 58
		s := &reading{memory: m}
		m.delay(50 * time.Millisecond)
		join := func(n int) *expecting {
			e := &expecting{node: &node{name: fmt.Sprint("e", n)}}
			e.Exchanger = New(s, "kind", e, e, slog.New(slog.DiscardHandler))
			go func() {
				time.Sleep(time.Duration(n%7) * 10 * time.Millisecond)
				if err := e.join(t.Context()); err != nil {
					t.Error(err)
				}
			}()

			return e
		}
		calls := func() int {
			_, writes := m.counts()

			return m.listed() + writes + int(s.reads.Load())
		}
		var first []*expecting
		for n := range instances {
			first = append(first, join(n))
		}
		time.Sleep(time.Second)
		t.Log("calls of", instances, "instances that start:", calls())
		is.True(calls() <= 2*instances)
		for a, x := range first {
			for _, y := range first[:a] {
				is.True(x.found(y) || y.found(x))
			}
		}
		before := calls()
		again := join(0)
		time.Sleep(time.Second)
		is.True(calls()-before <= 2) // a process that starts again
		again.set(func() { is.Equal(len(again.others), instances-1) })
	})
}
