package objectstore

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	client "tarragonwalk/io/objectstore"
	"tarragonwalk/io/standin/listener"
)

// MaxValueBytes is the largest accepted value.
const MaxValueBytes = 1 << 20

// defaultLogLimit is the default number of changes in the log for watches.
const defaultLogLimit = 10000

type object struct {
	value []byte
	// version increases with each write and delete, so that a recreated key never repeats a version.
	version int
	exists  bool
}

// Store is an in-memory object store with versions, watches and fault injection; its methods may be called concurrently.
type Store struct {
	server *fasthttp.Server
	done   chan struct{}

	mu       sync.Mutex
	objects  map[string]*object
	revision int
	log      []client.Change
	logLimit int
	changed  chan struct{}
	closed   bool
	reads    int64
	writes   int64
	faults   faults
	random   *rand.Rand

	readLimit  *rate.Limiter
	writeLimit *rate.Limiter

	listener *listener.Listener // nil before Serve
}

// New returns an empty store; seed is for the faults that are injected with a probability.
func New(seed uint64) *Store {
	s := &Store{
		done:       make(chan struct{}),
		objects:    map[string]*object{},
		logLimit:   defaultLogLimit,
		changed:    make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, seed)),
		readLimit:  rate.NewLimiter(rate.Inf, 0),
		writeLimit: rate.NewLimiter(rate.Inf, 0),
	}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    2 * MaxValueBytes,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}

	return s
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve answers requests on l until Close.
func (s *Store) Serve(l net.Listener) error {
	wrapped := listener.New(l)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()

		return l.Close()
	}
	s.listener = wrapped
	s.mu.Unlock()

	return s.server.Serve(wrapped)
}

// Close stops the store and closes its connections.
func (s *Store) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()

		return
	}
	s.closed = true
	close(s.done)
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
		l.Drop()
	}
}

// Calls returns the number of received reads, including lists and watches, and of received writes. Refused calls are
// included.
func (s *Store) Calls() (reads, writes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.reads, s.writes
}

// SetLimits bounds reads and writes per second; 0 removes a bound.
func (s *Store) SetLimits(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimit = limiter(reads)
	s.writeLimit = limiter(writes)
}

func limiter(n int) *rate.Limiter {
	if n <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}

	return rate.NewLimiter(rate.Limit(n), n)
}

// SetLogLimit sets the number of changes in the log for watches.
func (s *Store) SetLogLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLimit = n
	s.trim()
}

func (s *Store) trim() {
	if n := len(s.log) - s.logLimit; n > 0 {
		s.log = append([]client.Change(nil), s.log[n:]...)
	}
}

// record appends a change to the log and wakes all watches; the caller holds s.mu.
func (s *Store) record(key string, version int) {
	s.revision++
	s.log = append(s.log, client.Change{
		Key:      key,
		Revision: s.revision,
		Version:  version,
	})
	s.trim()
	close(s.changed)
	s.changed = make(chan struct{})
}

// sleep waits until d has passed or the store is closed.
func (s *Store) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.done:
	}
}
