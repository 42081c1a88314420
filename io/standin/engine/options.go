package engine

import "time"

// Steps sets the time of one token step, base + perStream for each running stream, and the largest batch.
func Steps(base, perStream time.Duration, maxBatch int) func(*Engine) {
	return func(e *Engine) {
		e.base, e.perStream, e.maxBatch = base, perStream, maxBatch
	}
}

// Prefill sets the time for each prompt byte that the prefix cache does not cover.
func Prefill(perByte time.Duration) func(*Engine) {
	return func(e *Engine) { e.perByte = perByte }
}

// CacheBlocks sets the capacity of the prefix cache in blocks of 256 bytes.
func CacheBlocks(n int) func(*Engine) {
	return func(e *Engine) { e.cache = newCache(n) }
}

// LoadLag sets how old load reports are.
func LoadLag(d time.Duration) func(*Engine) {
	return func(e *Engine) { e.loadLag = d }
}

// CacheEvents sets how late cache events are, and that every gap-th one is lost; 0 loses none.
func CacheEvents(lag time.Duration, gap int) func(*Engine) {
	return func(e *Engine) { e.cacheLag, e.cacheGap = lag, gap }
}

// Fencing sets whether orders with a stale fencing token are rejected; otherwise the token is ignored.
func Fencing(on bool) func(*Engine) {
	return func(e *Engine) { e.fencing = on }
}

// FailMarker sets a text that makes every prompt that contains it fail with status 400.
func FailMarker(marker string) func(*Engine) {
	return func(e *Engine) { e.failMarker = marker }
}

// Seed sets the seed of random failures.
func Seed(n uint64) func(*Engine) {
	return func(e *Engine) { e.random.Seed(n, n) }
}

// Loaded sets the weights that the engine reports, and how long an order to load others takes. Without it the engine
// reports no weights.
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
