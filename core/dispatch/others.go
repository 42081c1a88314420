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
