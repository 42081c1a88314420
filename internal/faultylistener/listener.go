package faultylistener

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
)

// Listener is a TCP listener of which the first calls of Accept fail.
type Listener struct {
	net.Listener
	failures atomic.Int32
}

// Listen returns a listener on a loopback address whose first failures calls fail.
func Listen(t *testing.T, failures int32) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{
		Listener: inner,
	}
	l.failures.Store(failures)

	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{
			Op:  "accept",
			Net: "tcp",
			Err: syscall.ENOMEM,
		}
	}

	return l.Listener.Accept()
}
