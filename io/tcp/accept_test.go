package tcp

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// listener fails a number of times before it returns a connection, and is closed then.
type listener struct {
	net.Listener
	failures int
	accepted bool
}

func (l *listener) Accept() (net.Conn, error) {
	switch {
	case l.failures > 0:
		l.failures--

		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	case !l.accepted:
		l.accepted = true

		return &net.TCPConn{}, nil
	default:
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	}
}

// Guards against an instance that accepts no calls of others any more after it was short of file descriptors once.
func TestAcceptAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &listener{failures: 20}
		c, err := Accept(l)
		is.NoErr(err)
		is.True(c != nil)
		_, err = Accept(l)
		is.True(errors.Is(err, net.ErrClosed))
	})
}
