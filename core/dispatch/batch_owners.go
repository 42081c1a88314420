package dispatch

import (
	"maps"
	"slices"
)

// BatchOwners returns the sorted names of the live instances that own a backend server of the deployment for batch work.
func (d *Dispatcher) BatchOwners(deployment string) []string {
	d.mu.Lock()
	defer d.unlock()
	c := d.configuration.Current()
	batchOwners := d.batchOwners(c, d.now())
	names := make(map[string]bool)
	for name, b := range c.BackendServers {
		if f := batchOwners[name]; b.Deployment == deployment && !b.Leaving && f != "" {
			names[f] = true
		}
	}

	return slices.Sorted(maps.Keys(names))
}
