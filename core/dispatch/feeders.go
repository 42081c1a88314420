package dispatch

import (
	"maps"
	"slices"
)

// Feeders returns the sorted names of the live instances that feed a backend server of the deployment.
func (d *Dispatcher) Feeders(deployment string) []string {
	d.mu.Lock()
	defer d.unlock()
	c := d.configuration.Current()
	feeders := d.feeders(c, d.now())
	names := make(map[string]bool)
	for name, b := range c.BackendServers {
		if f := feeders[name]; b.Deployment == deployment && !b.Leaving && f != "" {
			names[f] = true
		}
	}

	return slices.Sorted(maps.Keys(names))
}
