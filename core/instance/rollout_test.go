package instance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/rollout"
	"tarragonwalk/internal/fleet"
	"tarragonwalk/io/standin/engine"
)

const loadTime = 500 * time.Millisecond

func patchVersion(t *testing.T, f *fleet.Fleet, through string, base int) {
	t.Helper()
	version, err := f.Patch(through, operatorKey, base, fmt.Appendf(nil, `{"Deployments":{"drafting":{"ModelVersion":"v%d"}}}`, base+1))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitVersion(version); err != nil {
		t.Fatal(err)
	}
}

func allLoaded(f *fleet.Fleet, version string) func() bool {
	return func() bool {
		for _, e := range f.Engines {
			if have, loading := e.Weights(); have != version || loading {
				return false
			}
		}

		return true
	}
}

// Guards against a rollout that ends with the holder of its lease, that takes all engines out of service at once, or that
// sends orders with an old fencing token.
func TestRolloutOutlivesLeaseHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 4, engine.Loaded("drafting-model", "", "", loadTime))
	patchVersion(t, f, "entry-1", 1)
	is.NoErr(fleet.Await(allLoaded(f, "v2")))
	holder := f.LeaseHolder(rollout.LeaseKey(zone))
	is.True(holder != "")
	other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[holder]
	patchVersion(t, f, other, 2)
	f.Kill(holder)
	// The new holder first waits for the end of the lease. For e-1, which ignores fencing tokens, it waits for another term and
	// the longest order.
	giveUpAt := time.Now().Add(40 * time.Second)
	for n := 0; !allLoaded(f, "v3")(); n++ {
		_, body := newRequest(fmt.Sprintf("Note %d during the rollout", n), 4)
		_, err := stream(f.Caller(other, keyA), body, fmt.Sprintf("r-%d", n), nil)
		is.NoErr(err) // half of the engines are always in service
		is.True(time.Now().Before(giveUpAt))
		time.Sleep(20 * time.Millisecond)
	}
	for name, e := range f.Engines {
		token := 0
		for _, o := range e.Orders() {
			if o.FencingToken < token {
				t.Errorf("%s took token %d after %d", name, o.FencingToken, token)
			}
			token = o.FencingToken
		}
	}
}
