package engine

import (
	"time"

	"tarragonwalk/core/inference"
)

// weights are what the engine runs.
type weights struct {
	model, adapter, version string
}

// apply starts to load what an order names; the caller holds the lock. Streams that run go on, new ones are refused
// until the load ends.
func (e *Engine) apply(o inference.Order) {
	wanted := weights{
		model:   o.Model,
		adapter: o.Adapter,
		version: o.ModelVersion,
	}
	if o.Kind != inference.OrderKindLoad || wanted == e.weights {
		return
	}
	e.loads++
	number := e.loads
	e.loading = true
	time.AfterFunc(e.loadTime, func() {
		e.lock.Lock()
		defer e.lock.Unlock()
		if e.loads == number {
			e.weights, e.loading = wanted, false
		}
	})
}

// isLoading reports whether a load is under way.
func (e *Engine) isLoading() bool {
	e.lock.Lock()
	defer e.lock.Unlock()

	return e.loading
}

// Weights returns the version of the loaded weights and whether others are being loaded.
func (e *Engine) Weights() (version string, loading bool) {
	e.lock.Lock()
	defer e.lock.Unlock()

	return e.weights.version, e.loading
}
