package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking a peer that has left for one that has closed its sending side only, and the other way round.
func TestAcknowledged(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(peer *net.TCPConn) error
		there bool
	}{
		{"stays", func(*net.TCPConn) error { return nil }, true},
		{"closes its sending side", (*net.TCPConn).CloseWrite, true},
		{"closes", (*net.TCPConn).Close, false},
		{"resets", func(peer *net.TCPConn) error { _ = peer.SetLinger(0); return peer.Close() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			peer, err := net.Dial("tcp4", l.Addr().String())
			is.NoErr(err)
			defer peer.Close()
			own, err := l.Accept()
			is.NoErr(err)
			defer own.Close()
			is.NoErr(c.leave(peer.(*net.TCPConn)))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(own, "x") // a reset fails it
			time.Sleep(100 * time.Millisecond)
			is.Equal(Acknowledged(own), c.there)
		})
	}
	is.New(t).True(!Acknowledged(nil))
}

// Guards against a connection that is to be reset and ends in order.
func TestResetOnClose(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	peer, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer peer.Close()
	own, err := l.Accept()
	is.NoErr(err)
	is.NoErr(ResetOnClose(own))
	is.NoErr(own.Close())
	_, err = peer.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(ResetOnClose(nil) != nil)
}
