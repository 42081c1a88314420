package dispatch

import (
	"maps"
	"slices"
	"time"

	"tarragonwalk/core/message"
)

// othersSender is the sender of a batch owner's total for all other instances in the table of peers' counts. All batch
// owners share it, so that the total from a new batch owner replaces the one from its predecessor.
const othersSender = ""

// unheardLife is how long after the start of a request a batch owner is waited for that does not answer. Notices are given up after that.
const unheardLife = 500 * time.Millisecond

// heardCount is a count of this instance's online requests on a backend server that a batch owner knows.
type heardCount struct {
	batchOwner string
	inFlight   int
}

// OthersOnline returns, for the backend servers that the receiver asks about (nil for all that this instance owns for
// batch work), the online requests that all instances but the receiver have in flight. Instances report their counts to
// the batch owner only, so it has to pass on the total: without it each instance would fill the slots of a backend server
// on its own.
func (d *Dispatcher) OthersOnline(receiver string, asked []message.OnlineCount, at time.Time) []message.OnlineCount {
	d.mu.Lock()
	defer d.unlock()
	names := make([]string, 0, len(asked))
	for _, a := range asked {
		names = append(names, a.BackendServer)
	}
	if asked == nil {
		names = d.allOwnedServers(at)
	}
	counts := make([]message.OnlineCount, 0, len(names))
	for _, name := range names {
		counts = append(counts, message.OnlineCount{
			BackendServer: name,
			InFlight:      d.admission.OnlineExcept(receiver, name, at),
		})
	}

	return counts
}

// ObserveAnswer records a batch owner's answer to the counts that were sent to it: its totals of the online requests that other instances
// have in flight.
func (d *Dispatcher) ObserveAnswer(batchOwner string, sent, others []message.OnlineCount, at time.Time) {
	d.mu.Lock()
	defer d.unlock()
	for _, s := range sent {
		d.heard[s.BackendServer] = heardCount{
			batchOwner: batchOwner,
			inFlight:   s.InFlight,
		}
	}
	d.observeOnline(othersSender, others, at)
}

// unheard reports whether this instance has started a request on a backend server of which the batch owner may not know yet. Only one is
// started until it does: otherwise all instances that learn of the same free slots at once would each fill them.
func (d *Dispatcher) unheard(name string, at time.Time) bool {
	batchOwner := d.batchOwners(d.configuration.Current(), at)[name]
	if batchOwner == "" || batchOwner == d.self.Name || at.Sub(d.startedAt[name]) >= unheardLife {
		return false
	}
	known := 0
	if h := d.heard[name]; h.batchOwner == batchOwner {
		known = h.inFlight
	}

	return d.admission.Online(name) > known
}

// ObserveOthers records a batch owner's totals of the online requests that other instances have in flight.
func (d *Dispatcher) ObserveOthers(counts []message.OnlineCount, at time.Time) {
	if len(counts) > 0 {
		d.ObserveOnline(othersSender, counts, at)
	}
}

// allOwnedServers returns the backend servers that this instance owns for batch work.
func (d *Dispatcher) allOwnedServers(at time.Time) []string {
	names := []string{}
	for name, batchOwner := range d.batchOwners(d.configuration.Current(), at) {
		if batchOwner == d.self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}

// askBatchOwners requests new totals for the backend servers that queued requests wait for. A total only decreases when the
// batch owner is asked again, and a waiting request by itself sends no notice to the batch owner.
func (d *Dispatcher) askBatchOwners(at time.Time) {
	c := d.configuration.Current()
	batchOwners := d.batchOwners(c, at)
	deployments := map[string]bool{}
	for _, t := range d.waiting {
		deployments[t.state.request.Deployment] = true
	}
	for _, name := range slices.Sorted(maps.Keys(c.BackendServers)) {
		batchOwner := batchOwners[name]
		if !deployments[c.BackendServers[name].Deployment] || batchOwner == "" || batchOwner == d.self.Name {
			continue
		}
		d.outbox = append(d.outbox, notice{
			batchOwner: batchOwner,
			count: message.OnlineCount{
				BackendServer: name,
				InFlight:      d.admission.Online(name),
			},
		})
	}
}
