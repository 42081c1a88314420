package caller

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
	"golang.org/x/sys/unix"
)

const (
	// disconnectCheckInterval is the time between checks of whether the caller has disconnected.
	disconnectCheckInterval = time.Second
	// tcpEstablished is the state of a connection that neither side has closed.
	tcpEstablished = 1
)

// cancelOnDisconnect checks until ctx ends whether the caller has closed its connection, and then calls cancel. fasthttp
// detects a disconnected caller only when a write fails, and a response that is not streamed writes nothing until it is
// complete.
func cancelOnDisconnect(ctx context.Context, c *fiber.Ctx, cancel context.CancelFunc) {
	socket := socketOf(c.Context().Conn())
	if socket == nil {
		return
	}
	go func() {
		t := time.NewTicker(disconnectCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if disconnected(socket) {
				cancel()

				return
			}
		}
	}()
}

// socketOf returns the socket below a plain or TLS connection, or nil if there is none.
func socketOf(c net.Conn) syscall.Conn {
	if wrapped, ok := c.(*conn); ok {
		c = wrapped.Conn
	}
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	socket, _ := c.(syscall.Conn)

	return socket
}

// disconnected reports whether the TCP connection is no longer established. Peeking at received bytes is not enough: a
// caller that closes TLS sends an alert first, which looks like the next request.
func disconnected(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = e == nil && info.State != tcpEstablished
	})

	return gone || err != nil
}
