package virtualfleet

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against calls to the store for each read of a caller or each result of a job.
func TestCallsOfJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size, zones, jobs, items = 12, 3, 60, 8
			readInterval             = 500 * time.Millisecond
		)
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, 2))
		f := New(size, zones, random, slog.New(slog.DiscardHandler))
		defer f.Close()
		for n := range size {
			f.Start(n)
		}
		time.Sleep(10 * time.Second)
		before := f.StoreCalls()
		reads := 0
		var lock sync.Mutex
		var callers sync.WaitGroup
		for k := range jobs {
			id, d := fmt.Sprint("job", k), newDice(1, uint64(k)) //nolint:gosec // a few jobs
			callers.Go(func() {
				is.NoErr(f.Submit(t.Context(), d.intN(size), id, items))
				time.Sleep(readInterval)
				for position := 0; position < items; time.Sleep(readInterval) {
					page, err := f.Read(t.Context(), d.intN(size), id, position, readInterval)
					is.NoErr(err)
					if len(page.Results) > 0 {
						position = page.Next
					}
					lock.Lock()
					reads++
					lock.Unlock()
				}
			})
			time.Sleep(700 * time.Millisecond)
		}
		callers.Wait()
		time.Sleep(5 * time.Second)
		total := 0
		after := f.StoreCalls()
		for purpose, n := range after {
			after[purpose] = n - before[purpose]
			total += after[purpose]
		}
		sum := func(part string) (n int) {
			for purpose, k := range after {
				if strings.Contains(purpose, part) {
					n += k
				}
			}

			return n
		}
		t.Log("jobs", jobs, "items", items, "reads", reads, "calls", total, after)
		is.Equal(sum("submission/"), 2*jobs) // the items and the record
		is.Equal(sum("closing/"), jobs)
		// A write has at least 4 of the results, or comes after a delay of 3 s of at most 5 s that items take, or is the last one.
		is.True(sum("results written") <= 4*jobs)
		// Holders answer from memory, and reads at other instances are answered by holders.
		is.True(sum("read") <= jobs/10)
	})
}
