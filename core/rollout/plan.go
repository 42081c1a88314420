package rollout

import (
	"slices"
	"strings"
)

const (
	// maxLoads bounds the engines that load at once in a zone, since all loads share the bandwidth of the weight store.
	maxLoads = 2
	// outOfServiceDivisor limits the engines that are out of service during a rollout to this part of a deployment's engines in a
	// zone: one in outOfServiceDivisor.
	outOfServiceDivisor = 2
)

// target is an engine with the weights it has to run and those it was observed to run.
type target struct {
	name       string
	deployment string
	want       weights
	have       weights
	loading    bool
	responded  bool // false if the engine did not respond
}

// weights identify what an engine runs. The model is nothingLoaded if nothing is loaded, and empty if the engine does not report
// its weights; such an engine gets no orders.
type weights struct {
	model, adapter, version string
}

const nothingLoaded = "none"

// chooseLoads returns the sorted names of the engines to send a load order to now. An engine that serves, whatever its version,
// is chosen only if at least half of its deployment's engines stay in service or it is the only one. Engines that serve nothing
// are limited by maxLoads only.
func chooseLoads(targets []target) []string {
	targets = slices.Clone(targets)
	slices.SortFunc(targets, func(a, b target) int { return strings.Compare(a.name, b.name) })
	loading := 0
	size, outOfService := map[string]int{}, map[string]int{}
	for _, t := range targets {
		size[t.deployment]++
		if t.loading {
			loading++
		}
		if t.loading || !t.responded {
			outOfService[t.deployment]++
		}
	}
	chosen := []string{}
	for _, t := range targets {
		if !t.responded || t.loading || t.have.model == "" || t.have == t.want || loading >= maxLoads {
			continue
		}
		serving := t.have.model != nothingLoaded
		if serving && size[t.deployment] > 1 && outOfService[t.deployment] >= size[t.deployment]/outOfServiceDivisor {
			continue
		}
		chosen = append(chosen, t.name)
		outOfService[t.deployment]++
		loading++
	}

	return chosen
}
