package drain

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a listener that is closed while connections wait to be accepted.
func TestWaitBacklog(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	is.NoErr(WaitBacklog(t.Context(), l)) // nothing waits
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	ended := make(chan error, 1)
	go func() { ended <- WaitBacklog(t.Context(), l) }()
	for range 2 {
		select {
		case <-ended:
			t.Fatal("a connection still waits")
		case <-time.After(20 * time.Millisecond):
		}
		c, err := l.Accept()
		is.NoErr(err)
		defer c.Close()
	}
	is.NoErr(<-ended)
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.NoErr(WaitBacklog(ctx, l)) // until the end of ctx only
	is.True(ctx.Err() != nil)
}
