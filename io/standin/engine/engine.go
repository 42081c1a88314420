package engine

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"tarragonwalk/core/inference"
	"tarragonwalk/io/standin/faultserver"
)

// Engine generates tokens for a batch of streams in steps, one token for each stream per step. It is safe for concurrent
// use.
type Engine struct {
	// Set by options only.
	base, perStream, perByte time.Duration
	maxBatch                 int
	loadLag, cacheLag        time.Duration
	cacheGap                 int
	fencing                  bool
	failMarker               string

	lock         sync.Mutex
	wake         chan struct{}
	stop         chan struct{}
	stopped      bool
	loop         sync.WaitGroup
	waiting      []*stream
	running      []*stream
	cache        *cache
	samples      []sample
	faults       faults
	counters     counters
	random       *rand.PCG
	fencingToken int
	applied      map[string]inference.Order
	orders       []inference.Order
	weights      weights
	loading      bool
	loads        int
	loadTime     time.Duration

	server *faultserver.Server
}

// sample is the load from the time at until the next sample.
type sample struct {
	at               time.Time
	running, waiting int
}

// counters are read by tests.
type counters struct {
	started      map[string]int
	tokens       int
	largestBatch int
	canceled     int
}

// New returns an engine and starts its step loop. By default a step takes 2 ms plus 0.1 ms for each stream, and a batch
// has up to 16 streams.
func New(options ...func(*Engine)) *Engine {
	e := &Engine{
		base:      2 * time.Millisecond,
		perStream: 100 * time.Microsecond,
		perByte:   time.Microsecond,
		maxBatch:  16,
		wake:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
		cache:     newCache(256),
		random:    rand.NewPCG(1, 1),
		applied:   make(map[string]inference.Order),
		counters: counters{
			started: make(map[string]int),
		},
	}
	for _, o := range options {
		o(e)
	}
	e.server = faultserver.New(e.handler())
	e.loop.Go(e.run)

	return e
}

// Serve answers requests on l until Close or Crash, and then returns nil.
func (e *Engine) Serve(l net.Listener) error {
	return e.server.Serve(l)
}

// Close closes the listener and all connections and stops the step loop.
func (e *Engine) Close() {
	e.lock.Lock()
	if !e.stopped {
		e.stopped = true
		close(e.stop)
	}
	e.lock.Unlock()
	e.server.Close()
	e.loop.Wait()
}

// Started returns how many times each stream ID has been started.
func (e *Engine) Started() map[string]int {
	e.lock.Lock()
	defer e.lock.Unlock()
	r := make(map[string]int, len(e.counters.started))
	for k, v := range e.counters.started {
		r[k] = v
	}

	return r
}

// Tokens returns the number of tokens generated so far.
func (e *Engine) Tokens() int {
	e.lock.Lock()
	defer e.lock.Unlock()

	return e.counters.tokens
}

// LargestBatch returns the largest number of streams in a step so far.
func (e *Engine) LargestBatch() int {
	e.lock.Lock()
	defer e.lock.Unlock()

	return e.counters.largestBatch
}

// Canceled returns the number of streams that were canceled by a cancel call or a closed connection.
func (e *Engine) Canceled() int {
	e.lock.Lock()
	defer e.lock.Unlock()

	return e.counters.canceled
}

// Running returns the number of streams in the current batch and the number that are queued in the engine.
func (e *Engine) Running() (running, waiting int) {
	e.lock.Lock()
	defer e.lock.Unlock()

	return len(e.running), len(e.waiting)
}

// Orders returns the applied orders in the order of their arrival.
func (e *Engine) Orders() []inference.Order {
	e.lock.Lock()
	defer e.lock.Unlock()

	return append([]inference.Order(nil), e.orders...)
}
