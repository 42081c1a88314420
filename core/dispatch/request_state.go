package dispatch

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
)

// requestState is the state of one request over all its attempts, whose events it merges into one ordered output.
type requestState struct {
	request *inference.Request
	on      func(inference.Event) error
	// excluded and attempts are used by the request's goroutine, and under the dispatcher's mutex while the request waits
	// for a slot.
	excluded   map[string]bool
	attempts   int
	streams    int
	mayHaveRun atomic.Bool
	// delivering is true while an event is handed to the caller: a slow caller delays the stream, and its backend server
	// must not be considered late then.
	delivering atomic.Bool

	// mu guards the fields below and serializes deliveries; it is taken before the dispatcher's mutex, never after it.
	mu        sync.Mutex
	offset    int
	text      strings.Builder
	done      bool
	callerErr error
}

func newRequestState(r *inference.Request, on func(inference.Event) error) *requestState {
	s := &requestState{
		request:  r,
		on:       on,
		excluded: map[string]bool{},
		offset:   r.Offset,
	}
	s.text.WriteString(r.Generated)

	return s
}

// deliver passes the next event in order to the caller; it drops repeated tokens and fails on a gap.
func (s *requestState) deliver(e inference.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.done || s.callerErr != nil:
		return errStopped
	case e.Offset == s.offset+1:
	case e.Offset == s.offset && e.Finish != "":
		e.Text = ""
	case e.Offset <= s.offset:
		return nil
	default:
		return fault.New(fault.CodeStreamLost, fmt.Sprintf("token %d follows token %d", e.Offset, s.offset))
	}
	s.delivering.Store(true)
	err := s.on(e)
	s.delivering.Store(false)
	if err != nil {
		s.callerErr = err

		return err
	}
	s.offset = e.Offset
	s.text.WriteString(e.Text)
	s.done = e.Finish != ""

	return nil
}

// nextRequest returns the request for another stream: it continues after the tokens delivered so far and has its own stream ID.
func (s *requestState) nextRequest() *inference.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := *s.request
	r.Offset = s.offset
	r.Generated = s.text.String()
	// A late cancellation of an earlier attempt must not end a later one on the same backend server.
	if s.streams > 0 {
		r.Stream = fmt.Sprintf("%s.%d", s.request.Stream, s.streams)
	}
	s.streams++

	return &r
}

func (s *requestState) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.done
}

func (s *requestState) callerError() error {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.callerErr
}

func (s *requestState) resumed() bool {
	return s.streams > 0
}

func (s *requestState) recordFailure(server string, err error) {
	s.excluded[server] = true
	if !fault.NotRun(err) {
		s.mayHaveRun.Store(true)
	}
}

// correctNotRun replaces an error whose code promises that the request has not run if an earlier attempt may have run.
func (s *requestState) correctNotRun(err error) error {
	if !s.mayHaveRun.Load() || !fault.NotRun(err) {
		return err
	}

	return fault.Wrap(err, fault.CodeStreamLost, "the request was interrupted and could not continue")
}
