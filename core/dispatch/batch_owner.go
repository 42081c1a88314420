package dispatch

import (
	"maps"
	"slices"
	"time"

	"tarragonwalk/core/admission"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
	"tarragonwalk/core/rendezvous"
)

const (
	// batchOwnerCacheLife bounds the cost of ranking; a stale list of batch owners costs only performance.
	batchOwnerCacheLife = 100 * time.Millisecond
	// reportZeroFor keeps a count that fell to zero in the reports for several exchanges, in case one is lost.
	reportZeroFor = 10 * time.Second
)

// batchOwnerCache caches the batch owner of each backend server for one configuration and one list of live instances.
type batchOwnerCache struct {
	configuration *configuration.Configuration
	at            time.Time
	live          []string
	batchOwners   map[string]string
	// regionInstances is the number of live entry instances in the own region.
	regionInstances int
}

// batchOwners returns the batch owner of each backend server: an entry instance of the server's region if one is live, so that
// tokens do not cross the link between regions.
func (d *Dispatcher) batchOwners(c *configuration.Configuration, at time.Time) map[string]string {
	f := &d.batchOwnerCache
	if f.configuration == c && at.Sub(f.at) < batchOwnerCacheLife {
		return f.batchOwners
	}
	live := d.members.Live(at)
	names := make([]string, 0, len(live))
	regions := map[string][]string{}
	for _, n := range live {
		if n.Role == membership.RoleEntry {
			names = append(names, n.Region+"/"+n.Name)
			regions[n.Region] = append(regions[n.Region], n.Name)
		}
	}
	slices.Sort(names)
	f.at = at
	if f.configuration == c && slices.Equal(f.live, names) {
		return f.batchOwners
	}
	var all []string
	for _, n := range regions {
		all = append(all, n...)
	}
	f.configuration, f.live, f.batchOwners = c, names, map[string]string{}
	f.regionInstances = len(regions[d.self.Region])
	for name, b := range c.BackendServers {
		candidates := regions[b.Region]
		if len(candidates) == 0 {
			candidates = all
		}
		f.batchOwners[name] = rendezvous.Highest(name, candidates)
	}

	return f.batchOwners
}

// ownedServers returns the backend servers of the deployment that this instance owns for batch work.
func (d *Dispatcher) ownedServers(c *configuration.Configuration, deployment string, at time.Time) []string {
	batchOwners := d.batchOwners(c, at)
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.BackendServers)) {
		b := c.BackendServers[name]
		if b.Deployment == deployment && !b.Leaving && batchOwners[name] == d.self.Name {
			names = append(names, name)
		}
	}

	return names
}

// onlineStarted makes room for an online request that has started on a backend server: it preempts this instance's batch
// streams above the limit, and notifies the batch owner if that is another instance.
func (d *Dispatcher) onlineStarted(c *configuration.Configuration, name string, at time.Time) {
	d.startedAt[name] = at
	d.preempt(c, name, at)
	d.reportOnline(c, name, at)
}

// reportOnline sends a changed count of online requests to the batch owner if it is another instance. After a rise the
// batch owner has to preempt batch streams; after a fall the slot would stay unused until the regular exchange, up to a
// second later.
func (d *Dispatcher) reportOnline(c *configuration.Configuration, name string, at time.Time) {
	d.reportedAt[name] = at
	if batchOwner := d.batchOwners(c, at)[name]; batchOwner != "" && batchOwner != d.self.Name {
		d.outbox = append(d.outbox, notice{
			batchOwner: batchOwner,
			count: message.OnlineCount{
				BackendServer: name,
				InFlight:      d.admission.Online(name),
			},
		})
	}
}

func (d *Dispatcher) preempt(c *configuration.Configuration, name string, at time.Time) {
	for _, id := range d.admission.Preempt(name, maxBatch(c, name), at) {
		if cancel := d.running[id]; cancel != nil {
			cancel(errPreempted)
		}
	}
}

// maxBatch returns the slots of a backend server that batch work may use while no online request runs there.
func maxBatch(c *configuration.Configuration, name string) int {
	b := c.BackendServers[name]

	return admission.MaxBatch(b.Slots, c.Deployments[b.Deployment].HeadroomRatio)
}
