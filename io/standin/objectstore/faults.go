package objectstore

import (
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/standin/listener"
)

type faults struct {
	unavailable bool
	silent      bool
	frozen      bool
	delay       time.Duration
	loseAnswers float64
}

func (s *Store) setFaults(f func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
}

// SetUnavailable makes every call return status 503 while on.
func (s *Store) SetUnavailable(on bool) {
	s.setFaults(func(f *faults) { f.unavailable = on })
}

// SetRefused closes the listener and all connections if on, and otherwise listens again on the same address.
func (s *Store) SetRefused(on bool) error {
	l := s.served()
	if l == nil {
		return fault.New(fault.CodeUnavailable, "the store is not serving yet")
	}
	if err := l.Refuse(on); err != nil {
		return err
	}
	if on {
		l.Drop()
	}

	return nil
}

// SetDelay delays every answer.
func (s *Store) SetDelay(d time.Duration) {
	s.setFaults(func(f *faults) { f.delay = d })
}

// SetLoseAnswers closes the connection without an answer after a successful write, with probability p.
func (s *Store) SetLoseAnswers(p float64) {
	s.setFaults(func(f *faults) { f.loseAnswers = p })
}

// SetSilent makes the store accept calls while on, but neither apply nor answer them.
func (s *Store) SetSilent(on bool) {
	s.setFaults(func(f *faults) { f.silent = on })
}

// SilenceEstablished makes all established connections discard all data for the rest of their lifetime; new connections
// work.
func (s *Store) SilenceEstablished() {
	if l := s.served(); l != nil {
		l.Silence()
	}
}

// SetFrozen makes watches report no changes while on.
func (s *Store) SetFrozen(on bool) {
	s.setFaults(func(f *faults) { f.frozen = on })
}

func (s *Store) served() *listener.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.listener
}
