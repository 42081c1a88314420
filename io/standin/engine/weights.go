package engine

import (
	"time"

	"tarragonwalk/core/inference"
)

// weights identifies the weights that the engine has loaded.
type weights struct {
	model, adapter, version string
}

// apply starts to load the weights that an order names; the caller holds the lock. Running streams continue, and new
// ones are refused until the weights are loaded. A later order replaces one that is still loading.
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

// isLoading reports whether weights are being loaded.
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
