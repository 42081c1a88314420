package rollout

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/lease"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/rendezvous"
)

const (
	interval   = time.Second
	maxWorkers = 8
	// orderTimeout bounds an order in flight. After the earlier holder's term, a new holder waits this long before it sends
	// orders to engines that ignore fencing tokens.
	orderTimeout = 5 * time.Second
	loadTimeout  = 2 * time.Second
)

// engine is the client for model engines.
type engine interface {
	Load(ctx context.Context, a netip.AddrPort) (inference.Load, error)
	Order(ctx context.Context, a netip.AddrPort, o inference.Order) error
}

// holder provides the configuration in force.
type holder interface {
	Current() *configuration.Configuration
}

// members is the table of instances.
type members interface {
	Live(at time.Time) []membership.Instance
	Usable(name string, at time.Time) bool
}

// Manager is one instance's part in the rollouts of its availability zone.
type Manager struct {
	engine  engine
	holder  holder
	members members
	lease   *lease.Lease
	self    membership.Instance
	clock   func() time.Time
	log     *slog.Logger
	stepAt  time.Time
}

// New returns a manager that sends orders only while it holds the lease.
func New(e engine, h holder, m members, l *lease.Lease, self membership.Instance, clock func() time.Time, log *slog.Logger) *Manager {
	return &Manager{
		engine:  e,
		holder:  h,
		members: m,
		lease:   l,
		self:    self,
		clock:   clock,
		log:     log,
	}
}

// LeaseKey returns the store key of a zone's lease.
func LeaseKey(zone string) string {
	return "lease/rollout/" + zone
}

// Run checks the zone's engines each second until ctx ends, then releases the lease.
func (m *Manager) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		m.Step(ctx)
		select {
		case <-ctx.Done():
			m.release()

			return
		case <-t.C:
		}
	}
}

// Step renews, acquires or releases the lease and, if it is held, sends the orders that are due.
func (m *Manager) Step(ctx context.Context) {
	m.keepLease(ctx, m.clock())
	token, held := m.lease.Held(m.clock())
	c := m.holder.Current()
	if !held || c == nil {
		return
	}
	targets := m.observe(ctx, c)
	p := pool.New().WithMaxGoroutines(maxWorkers)
	for _, name := range chooseLoads(targets) {
		p.Go(func() { m.order(ctx, c, name, token) })
	}
	p.Wait()
}

// keepLease renews or acquires the lease if this instance is the zone's candidate. An instance that is no longer the candidate
// releases it, so that the new one need not wait for the end of the term.
func (m *Manager) keepLease(ctx context.Context, now time.Time) {
	if !m.candidate(now) {
		if _, held := m.lease.Held(now); held {
			m.release()
		}

		return
	}
	if now.Before(m.stepAt) {
		return
	}
	m.stepAt = now.Add(lease.Renewal)
	if err := m.lease.Step(ctx); err != nil {
		m.log.Debug("lease not renewed", "error", err)
	}
}

// candidate reports whether this instance is the one of its zone that should hold the lease. Only the candidate calls the store,
// so that store calls do not grow with the number of instances. If instances disagree on the candidate, the lease ensures a
// single holder.
func (m *Manager) candidate(at time.Time) bool {
	names := []string{}
	for _, i := range m.members.Live(at) {
		if i.Role == membership.RoleEntry && i.Zone == m.self.Zone {
			names = append(names, i.Name)
		}
	}

	return rendezvous.Highest(LeaseKey(m.self.Zone), names) == m.self.Name
}

// observe asks the usable engines of the zone which weights they run.
func (m *Manager) observe(ctx context.Context, c *configuration.Configuration) []target {
	lock := sync.Mutex{}
	targets := []target{}
	p := pool.New().WithMaxGoroutines(maxWorkers)
	for name, b := range c.BackendServers {
		if b.Zone != m.self.Zone || b.Kind != configuration.BackendKindEngine || b.Leaving || !m.members.Usable(name, m.clock()) {
			continue
		}
		p.Go(func() {
			t := m.observeOne(ctx, c, name, b)
			lock.Lock()
			defer lock.Unlock()
			targets = append(targets, t)
		})
	}
	p.Wait()

	return targets
}

func (m *Manager) observeOne(ctx context.Context, c *configuration.Configuration, name string, b configuration.BackendServer) target {
	d := c.Deployments[b.Deployment]
	t := target{
		name:       name,
		deployment: b.Deployment,
		want: weights{
			model:   d.Model,
			adapter: d.Adapter,
			version: d.ModelVersion,
		},
	}
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := m.engine.Load(call, b.Address)
	if err != nil {
		m.log.Debug("engine did not report its state", "backend", name, "error", err)

		return t
	}
	t.responded = true
	t.loading = l.Loading
	t.have = weights{
		model:   l.Model,
		adapter: l.Adapter,
		version: l.ModelVersion,
	}

	return t
}

// order sends one order if the lease is still held right before it. Engines that ignore fencing tokens get none until the
// term of an earlier holder and its longest order in flight are over. A process that is paused between the check and the send can
// still deliver a late order to such an engine; the next step observes and corrects the result.
func (m *Manager) order(ctx context.Context, c *configuration.Configuration, name string, token int) {
	b := c.BackendServers[name]
	d := c.Deployments[b.Deployment]
	now := m.clock()
	if !b.ChecksFencing && now.Before(m.lease.ExclusiveAt().Add(orderTimeout)) {
		return
	}
	current, held := m.lease.Held(now)
	if !held || current != token {
		return
	}
	deadline := now.Add(orderTimeout)
	if until := m.lease.HeldUntil(); until.Before(deadline) {
		deadline = until
	}
	call, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := m.engine.Order(call, b.Address, inference.Order{
		ID:           orderID(c.Version, name, d),
		Kind:         inference.OrderKindLoad,
		Model:        d.Model,
		Adapter:      d.Adapter,
		ModelVersion: d.ModelVersion,
		FencingToken: token,
	})
	if fault.CodeOf(err) == fault.CodeFenced {
		m.log.Warn("engine refused an order with an old fencing token", "backend", name, "token", token)

		return
	}
	if err != nil {
		m.log.Warn("order not confirmed, it is sent again if the engine still needs it", "backend", name, "error", err)

		return
	}
	m.log.Info("engine ordered to load", "backend", name, "model", d.Model, "adapter", d.Adapter, "version", d.ModelVersion, "token", token)
}

// orderID returns an ID that is the same for every holder, so that engines recognize a repeated order, and that differs if a
// later configuration requires the same weights again.
func orderID(version int, name string, d configuration.Deployment) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\x00%s\x00%s\x00%s\x00%s", version, name, d.Model, d.Adapter, d.ModelVersion))

	return hex.EncodeToString(sum[:])
}

// release releases the lease, with a context of its own since that of Run may have ended.
func (m *Manager) release() {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	if err := m.lease.Release(ctx); err != nil {
		m.log.Info("lease not released, it ends with its term", "error", err)
	}
}
