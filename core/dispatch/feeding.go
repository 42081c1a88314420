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
	// feederCacheLife bounds the cost of ranking; a stale list of feeders costs only performance.
	feederCacheLife = 100 * time.Millisecond
	// reportZeroFor keeps a count that fell to zero in the reports for several exchanges, in case one is lost.
	reportZeroFor = 10 * time.Second
)

// feederCache caches the feeder of each backend server for one configuration and one list of live instances.
type feederCache struct {
	configuration *configuration.Configuration
	at            time.Time
	live          []string
	feeders       map[string]string
	// regionInstances is the number of live entry instances in the own region.
	regionInstances int
}

// feeders returns the feeder of each backend server: an entry instance of the server's region if one is live, so that
// tokens do not cross the link between regions.
func (d *Dispatcher) feeders(c *configuration.Configuration, at time.Time) map[string]string {
	f := &d.feederCache
	if f.configuration == c && at.Sub(f.at) < feederCacheLife {
		return f.feeders
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
		return f.feeders
	}
	var all []string
	for _, n := range regions {
		all = append(all, n...)
	}
	f.configuration, f.live, f.feeders = c, names, map[string]string{}
	f.regionInstances = len(regions[d.self.Region])
	for name, b := range c.BackendServers {
		candidates := regions[b.Region]
		if len(candidates) == 0 {
			candidates = all
		}
		f.feeders[name] = rendezvous.Highest(name, candidates)
	}

	return f.feeders
}

// fedServers returns the backend servers of the deployment that this instance feeds.
func (d *Dispatcher) fedServers(c *configuration.Configuration, deployment string, at time.Time) []string {
	feeders := d.feeders(c, at)
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.BackendServers)) {
		b := c.BackendServers[name]
		if b.Deployment == deployment && !b.Leaving && feeders[name] == d.self.Name {
			names = append(names, name)
		}
	}

	return names
}

// onlineStarted makes room for an online request that has started on a backend server: it preempts this instance's batch
// streams above the limit, and notifies the feeder if that is another instance.
func (d *Dispatcher) onlineStarted(c *configuration.Configuration, name string, at time.Time) {
	d.preempt(c, name, at)
	d.reportOnline(c, name, at)
}

// reportOnline sends a changed count of online requests to the feeder if it is another instance. After a rise the feeder has to
// preempt batch streams; after a fall the slot would stay unused until the regular exchange, up to a second later.
func (d *Dispatcher) reportOnline(c *configuration.Configuration, name string, at time.Time) {
	d.reportedAt[name] = at
	if feeder := d.feeders(c, at)[name]; feeder != "" && feeder != d.self.Name {
		d.outbox = append(d.outbox, notice{
			feeder: feeder,
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
