package caller

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
)

// hangUpInterval bounds how long work goes on for a caller that has gone.
const hangUpInterval = time.Second

// cancelOnHangUp calls cancel once the caller has closed its connection, until ctx ends. fasthttp reports a caller that
// has gone only when a write fails, and an answer that is not streamed writes nothing until it is complete.
func cancelOnHangUp(ctx context.Context, c *fiber.Ctx, cancel context.CancelFunc) {
	wrapped, ok := c.Context().Conn().(*conn)
	if !ok {
		return
	}
	raw, ok := wrapped.Conn.(syscall.Conn)
	if !ok {
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
			if hungUp(raw) {
				cancel()

				return
			}
		}
	}()
}

// hungUp looks at the connection without taking bytes of a pipelined request from it.
func hungUp(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		one := [1]byte{}
		n, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EINTR)
		gone = !waiting && (e != nil || n == 0)
	})

	return gone || errors.Is(err, net.ErrClosed)
}
