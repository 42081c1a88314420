package rollout

import (
	"slices"
	"strings"
)

const (
	// maxLoads bounds the orders under way in a zone, since all loads share the weight store's rate.
	maxLoads = 2
	// keepServing is the part of a deployment's engines in a zone that go on serving during a rollout: one in keepServing may load.
	keepServing = 2
)

// target is an engine with what it has to run and what it was seen to run.
type target struct {
	name       string
	deployment string
	want       weights
	have       weights
	loading    bool
	seen       bool // false if the engine did not answer
}

// weights name what an engine runs; nothing loaded is the model nothingLoaded, and an empty model is an engine that does
// not report its weights and gets no orders.
type weights struct {
	model, adapter, version string
}

const nothingLoaded = "none"

// chooseLoads returns the names of the engines to order now, in order of names. At least half of the engines of a
// deployment that serve the wanted or another version stay in service; engines that serve nothing may all load.
func chooseLoads(targets []target) []string {
	targets = slices.Clone(targets)
	slices.SortFunc(targets, func(a, b target) int { return strings.Compare(a.name, b.name) })
	loading := 0
	size, out := map[string]int{}, map[string]int{}
	for _, t := range targets {
		size[t.deployment]++
		if t.loading {
			loading++
		}
		if t.loading || !t.seen {
			out[t.deployment]++
		}
	}
	chosen := []string{}
	for _, t := range targets {
		if !t.seen || t.loading || t.have.model == "" || t.have == t.want || loading >= maxLoads {
			continue
		}
		serving := t.have.model != nothingLoaded
		if serving && size[t.deployment] > 1 && out[t.deployment] >= size[t.deployment]/keepServing {
			continue
		}
		chosen = append(chosen, t.name)
		out[t.deployment]++
		loading++
	}

	return chosen
}
