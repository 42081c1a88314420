package idleconn

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/io/tcp"
)

// Guards against a request that gets no answer, or 408, since the process has not read it when the time of its connection is over.
func TestUnreadRequestKeepsConnection(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name  string
		state http.ConnState
		sent  string
		kept  bool
	}{
		{"idle", http.StateIdle, "", false},
		{"idle, with a request", http.StateIdle, request, true},
		{"new", http.StateNew, "", false},
		{"new, with a request", http.StateNew, request, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			caller, _ := dial(t, listener.Addr().String())
			conn, err := listener.Accept()
			is.NoErr(err)
			defer conn.Close()
			at := time.Now()
			l := New(func() (time.Duration, time.Duration) { return time.Second, time.Second }, func() time.Time { return at }, slog.New(slog.DiscardHandler))
			l.sweep() // the limits are known
			l.Observe(conn, c.state)
			_, err = io.WriteString(caller, c.sent)
			is.NoErr(err)
			for end := time.Now().Add(20 * time.Second); c.kept && !tcp.HasUnread(conn) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
			at = at.Add(2 * time.Second)
			l.sweep()
			text := make([]byte, len(request))
			_, err = io.ReadFull(conn, text)
			is.Equal(err == nil, c.kept)
			is.Equal(l.begin(conn), c.kept)
		})
	}
}
