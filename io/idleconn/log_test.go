package idleconn

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lockedBuffer collects log lines that several goroutines write.
type lockedBuffer struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()

	return b.text.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.lock.Lock()
	defer b.lock.Unlock()

	return strings.Count(b.text.String(), text)
}

// Guards against a caller's connection that this side ends before the request is handled and without a log line.
func TestEndsAreLogged(t *testing.T) {
	const unhandled, late, idle = "ended before its request was handled", "headers late", "cause=idle"
	for _, c := range []struct {
		name, first, sent string
		line              string
	}{
		{"not HTTP", "", "nonsense\r\n\r\n", unhandled},
		{"unknown transfer coding", "", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n", unhandled},
		{"unknown expectation", "", "POST / HTTP/1.1\r\nHost: h\r\nExpect: x\r\nContent-Length: 1\r\n\r\nx", unhandled},
		{"late headers", "", "GET / HTTP/1.1\r\nHo", late},
		{"idle", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "", idle},
		{"closed after the answer", "", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			lines := &lockedBuffer{}
			log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: slog.LevelDebug}))
			l := New(func() (time.Duration, time.Duration) { return SweepInterval, SweepInterval }, time.Now, log)
			s := httptest.NewUnstartedServer(l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
			s.Config.ConnState, s.Config.ConnContext = l.Observe, l.ConnContext
			s.Start()
			defer s.Close()
			go l.Run(t.Context(), time.Tick(SweepInterval))
			conn, r := dial(t, s.Listener.Addr().String())
			if c.first != "" {
				ask(t, conn, r, "/")
			}
			_, err := io.WriteString(conn, c.sent)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, r) // until the connection ends, by a reset or not
			for end := time.Now().Add(5 * time.Second); c.line != "" && lines.count(c.line) == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			for _, line := range []string{unhandled, late, idle} {
				want := 0
				if line == c.line {
					want = 1
				}
				is.Equal(lines.count(line), want)
			}
		})
	}
}
