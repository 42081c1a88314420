package engine

import (
	"sync"
	"time"
)

// stream is the generation of one answer; only the step loop advances it.
type stream struct {
	id      string
	answer  answer
	blocks  []uint64
	size    int
	prefill time.Duration // time left until the first token; guarded by the engine's lock

	lock     sync.Mutex
	offset   int // tokens generated
	repeats  []int
	canceled bool
	updated  chan struct{}
}

func (s *stream) cancel() {
	s.lock.Lock()
	s.canceled = true
	s.lock.Unlock()
	s.notify()
}

func (s *stream) isCanceled() bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.canceled
}

// advance generates one token, to be sent twice if repeat is true, and reports whether it was the last one.
func (s *stream) advance(repeat bool) bool {
	s.lock.Lock()
	if s.offset < s.answer.tokens {
		s.offset++
	}
	if repeat {
		s.repeats = append(s.repeats, s.offset)
	}
	last := s.offset >= s.answer.tokens
	s.lock.Unlock()
	s.notify()

	return last
}

// progress returns the number of generated tokens, the offsets to send twice since the last call, and whether the stream
// was canceled.
func (s *stream) progress() (offset int, repeats []int, canceled bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	repeats = s.repeats
	s.repeats = nil

	return s.offset, repeats, s.canceled
}

func (s *stream) notify() {
	select {
	case s.updated <- struct{}{}:
	default:
	}
}
