package engine

import "time"

// Steps sets the time of a token step, base plus perStream for each running stream, and the maximum batch size.
func Steps(base, perStream time.Duration, maxBatch int) func(*Engine) {
	return func(e *Engine) {
		e.base, e.perStream, e.maxBatch = base, perStream, maxBatch
	}
}

// Prefill sets the prefill time for each prompt byte that is not in the prefix cache.
func Prefill(perByte time.Duration) func(*Engine) {
	return func(e *Engine) { e.perByte = perByte }
}

// CacheBlocks sets the capacity of the prefix cache in blocks of 256 bytes.
func CacheBlocks(n int) func(*Engine) {
	return func(e *Engine) { e.cache = newCache(n) }
}

// LoadLag sets the age of load reports.
func LoadLag(d time.Duration) func(*Engine) {
	return func(e *Engine) { e.loadLag = d }
}

// CacheEvents sets the delay of cache events and loses every gap-th one; a gap of 0 loses none.
func CacheEvents(lag time.Duration, gap int) func(*Engine) {
	return func(e *Engine) { e.cacheLag, e.cacheGap = lag, gap }
}

// Fencing sets whether orders with a stale fencing token are rejected; otherwise the token is ignored.
func Fencing(on bool) func(*Engine) {
	return func(e *Engine) { e.fencing = on }
}

// FailMarker makes every prompt that contains marker fail with status 400.
func FailMarker(marker string) func(*Engine) {
	return func(e *Engine) { e.failMarker = marker }
}

// Seed sets the seed for the failures injected by Fail.
func Seed(n uint64) func(*Engine) {
	return func(e *Engine) { e.random.Seed(n, n) }
}

// Loaded sets the initially loaded weights and the time that an order to load other weights takes. Without this option
// the engine reports no weights.
func Loaded(model, adapter, version string, loadTime time.Duration) func(*Engine) {
	return func(e *Engine) {
		e.weights = weights{
			model:   model,
			adapter: adapter,
			version: version,
		}
		e.loadTime = loadTime
	}
}
