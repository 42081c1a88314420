package tcp

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a connection that notices an unreachable peer late, or never again after a peer was allowed not to read.
func TestAllowUnread(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := NewDialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	timeout := func() (millis int) {
		raw, err := c.(syscall.Conn).SyscallConn()
		is.NoErr(err)
		is.NoErr(raw.Control(func(fd uintptr) { millis, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
		is.NoErr(err)

		return millis
	}
	is.Equal(timeout(), 2000)
	is.NoErr(AllowUnread(c, true))
	is.Equal(timeout(), 0)
	is.NoErr(AllowUnread(c, false))
	is.Equal(timeout(), 2000)
}
