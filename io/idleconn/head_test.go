package idleconn

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against closing a kept connection, as one that has been idle for too long, while the head of its next request arrives in parts, and
// against keeping it when the rest does not arrive.
func TestLateHeadOnKeptConnection(t *testing.T) {
	const header, idle = 5 * SweepInterval, SweepInterval
	for _, c := range []struct {
		name   string
		pause  time.Duration
		status int
	}{
		{"in time", header - SweepInterval, http.StatusOK},
		{"late", header + 3*SweepInterval, http.StatusRequestTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := New(func() (time.Duration, time.Duration) { return header, idle }, time.Now, slog.New(slog.DiscardHandler))
			l.sweep() // the limits are known
			s := &http.Server{
				Handler:     l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})),
				ConnState:   l.Observe,
				ConnContext: l.ConnContext,
			}
			defer s.Close()
			go func() { _ = s.Serve(l.Listen(listener)) }()
			go l.Run(t.Context(), time.Tick(SweepInterval))
			conn, r := dial(t, listener.Addr().String())
			ask(t, conn, r, "/")
			time.Sleep(SweepInterval / 2)
			_, err = io.WriteString(conn, request[:10])
			is.NoErr(err)
			time.Sleep(c.pause)
			_, _ = io.WriteString(conn, request[10:]) // the connection may be closed
			a, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.NoErr(a.Body.Close())
			is.Equal(a.StatusCode, c.status)
		})
	}
}
