package addresses

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// refusalPause is the time between two looks at whether the machines of missing instances refuse connections.
	refusalPause = 2 * time.Second
	// refusalTimeout bounds such a look.
	refusalTimeout = 600 * time.Millisecond
	// maxRefusalCalls bounds its concurrent calls.
	maxRefusalCalls = 64
)

// refusals knows which missing instances run no process, as far as their machines answer. A firewall may refuse connections in the name of
// a machine, so that this is no proof that the process has ended.
type refusals struct {
	// since holds since when the machine of an instance has refused connections at each look.
	since  map[string]time.Time
	lookAt time.Time
}

func newRefusals() *refusals {
	return &refusals{
		since: map[string]time.Time{},
	}
}

// observe looks at the addresses of the missing instances if it is time.
func (r *refusals) observe(ctx context.Context, missing map[string]netip.AddrPort, refused func(ctx context.Context, a netip.AddrPort) bool) {
	for name := range r.since {
		if _, ok := missing[name]; !ok {
			delete(r.since, name)
		}
	}
	at := time.Now()
	if len(missing) == 0 || at.Before(r.lookAt) {
		return
	}
	r.lookAt = at.Add(refusalPause)
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	found := map[string]bool{}
	var lock sync.Mutex
	p := pool.New().WithMaxGoroutines(maxRefusalCalls)
	for name, a := range missing {
		p.Go(func() {
			refuses := a.IsValid() && ctx.Err() == nil && refused(ctx, a)
			lock.Lock()
			defer lock.Unlock()
			found[name] = refuses
		})
	}
	p.Wait()
	for name, refuses := range found {
		_, known := r.since[name]
		switch {
		case !refuses:
			delete(r.since, name)
		case !known:
			r.since[name] = at
		}
	}
}
