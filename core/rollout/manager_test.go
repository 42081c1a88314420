package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/lease"
	"tarragonwalk/core/membership"
	"tarragonwalk/internal/fakestore"
)

// fakeZone fakes a zone with one engine that runs old weights.
type fakeZone struct {
	live   []membership.Instance
	orders []int // fencing tokens
}

func (w *fakeZone) Load(context.Context, netip.AddrPort) (inference.Load, error) {
	return inference.Load{Model: "m", ModelVersion: "1"}, nil
}

func (w *fakeZone) Order(_ context.Context, _ netip.AddrPort, o inference.Order) error {
	w.orders = append(w.orders, o.FencingToken)

	return nil
}

func (w *fakeZone) Current() *configuration.Configuration {
	return &configuration.Configuration{
		Version:     2,
		Deployments: configuration.ConfigurationDeployments{"d": {Model: "m", ModelVersion: "2"}},
		BackendServers: configuration.ConfigurationBackendServers{
			"e": {Zone: "z", Kind: configuration.BackendKindEngine, Deployment: "d", ChecksFencing: true},
		},
	}
}

func (w *fakeZone) Live(time.Time) []membership.Instance { return w.live }

func (w *fakeZone) Usable(string, time.Time) bool { return true }

// Guards against a rollout that stalls for a term whenever an instance that ranks above the holder joins, and against orders of
// the earlier holder afterwards.
func TestHandover(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, now := fakestore.New(), time.Unix(1000, 0)
	clock := func() time.Time { return now }
	w := &fakeZone{}
	managers := map[string]*Manager{}
	for n := range 8 {
		self := membership.Instance{Name: fmt.Sprintf("entry-%d", n), Role: membership.RoleEntry, Zone: "z"}
		l := lease.New(store, LeaseKey("z"), self.Name, self.Name+" 1", clock)
		managers[self.Name] = New(w, w, w, l, self, clock, slog.New(slog.DiscardHandler))
		w.live = append(w.live, self)
	}
	all := w.live
	changes, holder := 0, ""
	for size := 1; size <= len(all); size++ {
		w.live = all[:size]
		for range 2 { // the earlier holder releases in the first round; the new one acquires in the second at the latest
			now = now.Add(lease.Renewal)
			for _, i := range w.live {
				managers[i.Name].Step(ctx)
			}
		}
		held := []string{}
		for name, m := range managers {
			if _, ok := m.lease.Held(now); ok {
				held = append(held, name)
			}
		}
		is.Equal(len(held), 1) // one holder, without a gap of a term
		if held[0] != holder {
			changes, holder = changes+1, held[0]
		}
	}
	is.True(changes > 1) // the test did cause a handover
	for n := 1; n < len(w.orders); n++ {
		is.True(w.orders[n] >= w.orders[n-1])
	}
}
