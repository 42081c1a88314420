package engine

import "math/rand/v2"

// faults holds the injected faults; it is guarded by the engine's lock.
type faults struct {
	slow       float64
	frozen     bool
	leaving    bool
	duplicates int
	failure    float64
	swaps      int
}

// Slow multiplies the time of each step by factor; a factor of 1 restores the normal time.
func (e *Engine) Slow(factor float64) {
	e.setFaults(func(f *faults) { f.slow = factor })
}

// Freeze stops token generation while on; connections stay open.
func (e *Engine) Freeze(on bool) {
	e.setFaults(func(f *faults) { f.frozen = on })
}

// Leave makes the engine reject new streams while on; running streams continue.
func (e *Engine) Leave(on bool) {
	e.setFaults(func(f *faults) { f.leaving = on })
}

// Duplicate sends each of the next n token events twice.
func (e *Engine) Duplicate(n int) {
	e.setFaults(func(f *faults) { f.duplicates = n })
}

// Fail makes new streams fail with status 500 with the given probability.
func (e *Engine) Fail(probability float64) {
	e.setFaults(func(f *faults) { f.failure = probability })
}

// Swap answers each of the next n streams with the answer to another request and with that request's ID.
func (e *Engine) Swap(n int) {
	e.setFaults(func(f *faults) { f.swaps = n })
}

// swap reports whether the next stream gets the answer to another request, and counts it.
func (e *Engine) swap() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.faults.swaps == 0 {
		return false
	}
	e.faults.swaps--

	return true
}

// Silence makes all established connections discard all data for the rest of their lifetime; new connections work.
func (e *Engine) Silence() {
	e.server.Silence()
}

// Drop closes all established connections.
func (e *Engine) Drop() {
	e.server.Drop()
}

// Refuse makes new connections fail while on; established ones keep working.
func (e *Engine) Refuse(on bool) error {
	return e.server.Refuse(on)
}

// Crash closes the listener and all connections at once.
func (e *Engine) Crash() {
	e.Close()
}

func (e *Engine) setFaults(change func(*faults)) {
	e.lock.Lock()
	change(&e.faults)
	e.lock.Unlock()
	e.notify()
}

// injectedFailure reports whether a new stream is to fail and whether the engine is leaving.
func (e *Engine) injectedFailure() (failed, leaving bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	failed = e.faults.failure > 0 && rand.New(e.random).Float64() < e.faults.failure

	return failed, e.faults.leaving
}
