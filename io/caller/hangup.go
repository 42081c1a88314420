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
	// hangUpInterval bounds how long work goes on for a caller that has gone.
	hangUpInterval = time.Second
	// tcpEstablished is the state of a connection that neither side has closed.
	tcpEstablished = 1
)

// cancelOnHangUp calls cancel once the caller has closed its connection, until ctx ends. fasthttp reports a caller that
// has gone only when a write fails, and an answer that is not streamed writes nothing until it is complete.
func cancelOnHangUp(ctx context.Context, c *fiber.Ctx, cancel context.CancelFunc) {
	socket := socketOf(c.Context().Conn())
	if socket == nil {
		return
	}
	go func() {
		t := time.NewTicker(hangUpInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if hungUp(socket) {
				cancel()

				return
			}
		}
	}()
}

// socketOf unwraps a connection, through TLS as well, or returns nil.
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

// hungUp asks for the state of the connection. Looking at its bytes would not do: a caller that closes TLS sends an
// alert first, which would look like the next request.
func hungUp(c syscall.Conn) bool {
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
