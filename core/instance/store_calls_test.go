package instance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against steady-state calls that exhaust the store's limits: eight instances with online traffic may use 5 % of 2,000
// reads and 300 writes a second.
func TestStoreCallsInSteadyState(t *testing.T) {
	t.Parallel()
	const instances, seconds, readLimit, writeLimit, part = 8, 6, 2000, 300, 0.05
	is := is.New(t)
	f := startFleet(t, 2)
	for n := 3; n <= instances; n++ {
		is.NoErr(f.StartInstance(fmt.Sprintf("entry-%d", n), zone, region))
	}
	is.NoErr(f.AwaitVersion(1))
	is.NoErr(f.AwaitInstances())
	reads, writes := f.Store.Calls()
	endAt := time.Now().Add(seconds * time.Second)
	for n := 0; time.Now().Before(endAt); n++ {
		_, body := newRequest(fmt.Sprintf("Note %d", n), 8)
		_, err := stream(f.Caller(fmt.Sprintf("entry-%d", n%instances+1), keyA), body, fmt.Sprintf("r-%d", n), nil)
		is.NoErr(err)
	}
	readsAfter, writesAfter := f.Store.Calls()
	t.Logf("%d reads and %d writes in %d s", readsAfter-reads, writesAfter-writes, seconds)
	is.True(float64(readsAfter-reads) < part*readLimit*seconds)
	is.True(float64(writesAfter-writes) < part*writeLimit*seconds)
}
