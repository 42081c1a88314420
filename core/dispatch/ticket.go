package dispatch

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
)

// ticket is a request that waits for a slot, and then its slot on a backend server.
type ticket struct {
	id     uint64
	state  *requestState
	cancel context.CancelCauseFunc
	ready  chan struct{}
	// server and address are set before ready is closed.
	server  string
	address netip.AddrPort
}

func (t *ticket) grant(c *configuration.Configuration, name string) {
	t.server = name
	t.address = c.BackendServers[name].Address
	close(t.ready)
}

// acquire waits for a slot; cancel is called when the attempt that uses the slot is preempted.
func (d *Dispatcher) acquire(ctx context.Context, cancel context.CancelCauseFunc, s *requestState) (*ticket, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	t := &ticket{
		state:  s,
		cancel: cancel,
		ready:  make(chan struct{}),
	}
	until, err := d.enqueue(t)
	if err != nil {
		counters.Add("Refused", 1)

		return nil, err
	}
	select {
	case <-t.ready:
		return t, nil
	default:
	}

	return d.wait(ctx, t, until)
}

func (d *Dispatcher) enqueue(t *ticket) (until <-chan time.Time, err error) {
	d.mu.Lock()
	defer d.unlock()
	at, c, r := d.now(), d.configuration.Current(), t.state.request
	d.lastID++
	t.id = d.lastID
	if r.Class == inference.ClassBatch {
		if t.state.resumed() {
			d.batch = slices.Insert(d.batch, 0, t)
		} else {
			d.batch = append(d.batch, t)
		}
		d.schedule(at)

		return nil, nil
	}
	name, err := d.admission.Admit(t.id, r, c, func(r *inference.Request) (string, bool) {
		return d.pick(c, r, t.state, at)
	}, at)
	switch {
	case err != nil:
		return nil, err
	case name != "":
		t.grant(c, name)
		d.onlineStarted(c, name, at)

		return nil, nil
	}
	counters.Add("Queued", 1)
	d.waiting[t.id] = t
	d.schedule(at)

	return time.After(d.queueWait), nil
}

func (d *Dispatcher) wait(ctx context.Context, t *ticket, until <-chan time.Time) (*ticket, error) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-t.ready:
			return t, nil
		case <-poll.C:
			d.poll()
		case <-until:
			if d.remove(t) {
				return nil, d.overloaded()
			}
			until = nil
		case <-ctx.Done():
			if !d.remove(t) {
				// The slot was granted meanwhile; the attempt ends at once with the context and frees it.
				return t, nil
			}
			err := contextError(ctx)
			if fault.CodeOf(err) == fault.CodeDeadlinePassed && t.state.request.Class != inference.ClassBatch {
				err = d.overloaded()
			}

			return nil, err
		}
	}
}

func (d *Dispatcher) overloaded() *fault.Error {
	counters.Add("Refused", 1)
	err := fault.New(fault.CodeOverloaded, "no backend server became free before the queue deadline")
	err.RetryAt = d.now().Add(time.Second)

	return err
}

// remove removes the ticket from its queue; false if it already has a slot.
func (d *Dispatcher) remove(t *ticket) bool {
	d.mu.Lock()
	defer d.unlock()
	if t.server != "" {
		return false
	}
	delete(d.waiting, t.id)
	d.admission.RemoveQueued(t.id)
	d.batch = slices.DeleteFunc(d.batch, func(o *ticket) bool { return o == t })
	// The request may have blocked the queue behind it.
	d.schedule(d.now())

	return true
}

func (d *Dispatcher) poll() {
	d.mu.Lock()
	defer d.unlock()
	if at := d.now(); at.Sub(d.polledAt) >= pollInterval/2 {
		d.polledAt = at
		d.schedule(at)
		d.askBatchOwners(at)
	}
}

// schedule starts waiting requests that now have a slot: online requests first, then batch streams in the remaining slots.
func (d *Dispatcher) schedule(at time.Time) {
	c := d.configuration.Current()
	for _, deployment := range d.admission.Waiting() {
		for {
			id, name, ok := d.admission.Next(deployment, c, func(id uint64, r *inference.Request) (string, bool) {
				return d.pickQueued(c, r, d.waiting[id].state, at)
			})
			if !ok {
				break
			}
			d.waiting[id].grant(c, name)
			delete(d.waiting, id)
			d.onlineStarted(c, name, at)
		}
	}
	if d.batchCondition != nil && !d.batchCondition(at) {
		return
	}
	full := map[string]bool{}
	d.batch = slices.DeleteFunc(d.batch, func(t *ticket) bool {
		deployment := t.state.request.Deployment
		if full[deployment] {
			return false
		}
		name, ok := d.pickBatch(c, t.state, at)
		if !ok {
			full[deployment] = true

			return false
		}
		d.admission.StartBatch(t.id, name, maxBatch(c, name), at)
		d.running[t.id] = t.cancel
		t.grant(c, name)

		return true
	})
}

// pick chooses a backend server for an online request and excludes those that have failed it, unless no other is usable.
func (d *Dispatcher) pick(
	c *configuration.Configuration, r *inference.Request, s *requestState, at time.Time,
) (string, bool) {
	excluded := s.excluded
	if len(excluded) > 0 && !d.hasOther(c, r.Deployment, excluded, at) {
		excluded = nil
	}

	return d.router.Pick(c, r, excluded, at)
}

// pickQueued is pick for a queued request. It also falls back to the servers that have failed the request if the others
// have no free slot, so that the request does not block the queue behind it.
func (d *Dispatcher) pickQueued(
	c *configuration.Configuration, r *inference.Request, s *requestState, at time.Time,
) (string, bool) {
	if name, ok := d.pick(c, r, s, at); ok || len(s.excluded) == 0 {
		return name, ok
	}

	return d.router.Pick(c, r, nil, at)
}

func (d *Dispatcher) hasOther(
	c *configuration.Configuration, deployment string, excluded map[string]bool, at time.Time,
) bool {
	for name, b := range c.BackendServers {
		if b.Deployment == deployment && !b.Leaving && !excluded[name] && d.usable(name, at) {
			return true
		}
	}

	return false
}

// pickBatch returns the backend server that this instance owns for batch work and that has the most free batch slots.
// Servers that have failed the request and stragglers are used only as probes, when no other has a free batch slot.
func (d *Dispatcher) pickBatch(c *configuration.Configuration, s *requestState, at time.Time) (string, bool) {
	best, most := "", 0
	avoided, avoidedMost := "", 0
	for _, name := range d.ownedServers(c, s.request.Deployment, at) {
		if !d.usable(name, at) {
			continue
		}
		free := d.admission.BatchFree(name, maxBatch(c, name), at)
		if s.excluded[name] || d.latency.Straggler(name, at) {
			if free > avoidedMost {
				avoided, avoidedMost = name, free
			}
		} else if free > most {
			best, most = name, free
		}
	}
	if best != "" {
		return best, true
	}
	if avoided != "" && d.latency.Probe(avoided, at) {
		return avoided, true
	}

	return "", false
}
