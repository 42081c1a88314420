package faultserver

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragonwalk/io/standin/listener"
)

// readHeaderTime is the time limit for reading a request header, which might otherwise never end.
const readHeaderTime = 10 * time.Second

// Server serves one handler. Faults have no effect before Serve and after Close. It is safe for concurrent use.
type Server struct {
	http *http.Server

	lock     sync.Mutex
	closed   bool
	listener *listener.Listener // nil before Serve
}

// New returns a server for a handler.
func New(h http.Handler) *Server {
	return &Server{
		http: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTime,
		},
	}
}

// Serve answers requests on l until Close, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	wrapped := listener.New(l)
	s.lock.Lock()
	if s.closed {
		s.lock.Unlock()

		return wrapped.Close()
	}
	s.listener = wrapped
	s.lock.Unlock()
	err := s.http.Serve(wrapped)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}

	return err
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.lock.Lock()
	s.closed = true
	l := s.listener
	s.lock.Unlock()
	if l != nil {
		_ = l.Close()
		l.Drop()
	}
	_ = s.http.Close() // The connections are closed already.
}

// Silence makes all established connections discard all data for the rest of their lifetime; new connections work.
func (s *Server) Silence() {
	if l := s.served(); l != nil {
		l.Silence()
	}
}

// Drop closes all established connections.
func (s *Server) Drop() {
	if l := s.served(); l != nil {
		l.Drop()
	}
}

// Refuse makes new connections fail while on; established ones keep working.
func (s *Server) Refuse(on bool) error {
	if l := s.served(); l != nil {
		return l.Refuse(on)
	}

	return nil
}

func (s *Server) served() *listener.Listener {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.listener
}
