package isolation

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// checkAfter is how long an instance is isolated before it looks for the others by other means than heartbeats.
	checkAfter = 30 * time.Second
	// interval is the time between two looks.
	interval = 10 * time.Second
	// maxCalls bounds the concurrent calls of a look.
	maxCalls = 8
)

type cluster interface {
	IsolatedSince() (time.Time, bool)
	PeerAddresses() []netip.AddrPort
	ForgetPeers(at time.Time)
}

// peers reports whether a process accepts calls at an address.
type peers interface {
	Reachable(ctx context.Context, a netip.AddrPort) bool
}

// Checker ends the isolation of an instance that is the only one left; as long as any other one accepts connections, the instance stays
// isolated, since that one may still run its jobs.
type Checker struct {
	cluster cluster
	peers   peers
	now     func() time.Time
	log     *slog.Logger
}

// New returns a checker; Run starts it.
func New(c cluster, p peers, now func() time.Time, log *slog.Logger) *Checker {
	return &Checker{
		cluster: c,
		peers:   p,
		now:     now,
		log:     log,
	}
}

// Run checks at intervals until ctx ends.
func (c *Checker) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Checker) check(ctx context.Context) {
	since, isolated := c.cluster.IsolatedSince()
	if !isolated || c.now().Sub(since) < checkAfter {
		return
	}
	addresses := c.cluster.PeerAddresses()
	reached := c.reached(ctx, addresses)
	c.log.Warn("other instances looked for", "isolated_since", since, "addresses", len(addresses), "reached", reached)
	if _, isolated = c.cluster.IsolatedSince(); isolated && !reached && ctx.Err() == nil {
		c.cluster.ForgetPeers(c.now())
	}
}

// reached reports whether any of the addresses accepts a connection.
func (c *Checker) reached(ctx context.Context, addresses []netip.AddrPort) bool {
	var found atomic.Bool
	p := pool.New().WithMaxGoroutines(maxCalls)
	for _, a := range addresses {
		p.Go(func() {
			if !found.Load() && c.peers.Reachable(ctx, a) {
				found.Store(true)
			}
		})
	}
	p.Wait()

	return found.Load()
}
