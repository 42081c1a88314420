package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/io/tcp"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (own, peer *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	p, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { c.Close(); p.Close() })

	return c.(*net.TCPConn), p.(*net.TCPConn)
}

// Guards against a body without a length that looks complete since the system has told a write of the reset, and a read of nothing but the
// end; and against one that is taken for cut since its server was still sent a request when it had ended the connection in order.
func TestResetEndsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	reset := func(peer *net.TCPConn) { _ = peer.SetLinger(0); peer.Close() }
	for _, c := range []struct {
		name string
		end  func(peer *net.TCPConn)
		// write is how the client writes before it reads.
		write func(own *net.TCPConn, c *Conn) error
		told  error
		cut   bool
	}{
		{"read is told", reset, nil, nil, true},
		{"write is told", reset, func(_ *net.TCPConn, c *Conn) error { _, err := c.Write([]byte("x")); return err }, syscall.ECONNRESET, true},
		{"write is told and has not returned", reset, func(own *net.TCPConn, _ *Conn) error { _, err := own.Write([]byte("x")); return err }, syscall.ECONNRESET, true},
		{"ended in order", func(peer *net.TCPConn) { peer.Close() }, nil, nil, false},
		{
			"ended in order, reset since it was sent more",
			func(peer *net.TCPConn) { peer.Close() },
			func(own *net.TCPConn, c *Conn) error {
				_, err := c.Write([]byte("x"))
				waitClosed(own)

				return err
			}, nil, false,
		},
		{
			"ended in order, write is told of the reset",
			func(peer *net.TCPConn) { peer.Close() },
			func(own *net.TCPConn, c *Conn) error {
				_, _ = c.Write([]byte("x"))
				waitClosed(own)
				_, err := c.Write([]byte("x"))

				return err
			}, syscall.EPIPE, false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			own, peer := pair(t)
			conn := New(own)
			_, err := io.WriteString(peer, head+"part")
			is.NoErr(err)
			_, err = io.ReadFull(conn, make([]byte, len(head+"part")))
			is.NoErr(err)
			c.end(peer)
			if c.cut {
				waitClosed(own)
			}
			if c.write != nil {
				is.True(errors.Is(c.write(own, conn), c.told))
			}
			_, err = conn.Read(make([]byte, 100))
			is.True(err != nil)
			is.Equal(!errors.Is(err, io.EOF), c.cut)
		})
	}
}

// waitClosed waits until the system has received a reset.
func waitClosed(c *net.TCPConn) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if closed, _ := tcp.Closed(c); closed {
			return
		}
	}
}
