package service

import (
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragonwalk/io/standin/faultserver"
)

// maxBody is the largest request body in bytes.
const maxBody = 16 << 20

// Service answers each call with the body of the request; it is safe for concurrent use.
type Service struct {
	lock        sync.Mutex
	keys        map[string]int
	paths       map[string]int
	delay       time.Duration
	loseAnswers int
	swaps       int
	server      *faultserver.Server
}

// New returns a service without delay.
func New() *Service {
	s := &Service{
		keys:  make(map[string]int),
		paths: make(map[string]int),
	}
	s.server = faultserver.New(http.HandlerFunc(s.serve))

	return s
}

// Serve answers requests on l until Close or Crash, and then returns nil.
func (s *Service) Serve(l net.Listener) error {
	return s.server.Serve(l)
}

// Close closes the listener and all connections.
func (s *Service) Close() {
	s.server.Close()
}

// Crash closes the listener and all connections at once.
func (s *Service) Crash() {
	s.Close()
}

// Delay makes each later call wait for d before it runs.
func (s *Service) Delay(d time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.delay = d
}

// LoseAnswers makes each of the next n calls run and then close the connection without an answer.
func (s *Service) LoseAnswers(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.loseAnswers = n
}

// Swap makes each of the next n calls run and then return the answer to another request, with that request's ID.
func (s *Service) Swap(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.swaps = n
}

// Refuse makes new connections fail while on and closes established ones.
func (s *Service) Refuse(on bool) error {
	err := s.server.Refuse(on)
	if on {
		s.server.Drop()
	}

	return err
}

// Silence makes all established connections discard all data for the rest of their lifetime; new connections work.
func (s *Service) Silence() {
	s.server.Silence()
}

// Keys returns the number of calls that ran for each Idempotency-Key.
func (s *Service) Keys() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()

	return maps.Clone(s.keys)
}

// Paths returns the number of calls that ran for each path.
func (s *Service) Paths() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()

	return maps.Clone(s.paths)
}

func (s *Service) serve(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	s.lock.Lock()
	d := s.delay
	s.lock.Unlock()
	time.Sleep(d)
	s.lock.Lock()
	if k := q.Header.Get("Idempotency-Key"); k != "" {
		s.keys[k]++
	}
	s.paths[q.URL.Path]++
	lose, swap := s.loseAnswers > 0, s.swaps > 0
	if lose {
		s.loseAnswers--
	}
	if swap {
		s.swaps--
	}
	s.lock.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	id := q.Header.Get("X-Request-Id")
	if swap {
		id, b = id+"-other", []byte("the answer to another request")
	}
	w.Header().Set("X-Request-Id", id)
	_, _ = w.Write(b) // A broken connection ends the request anyway.
}
