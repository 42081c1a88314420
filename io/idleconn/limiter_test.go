package idleconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newServer starts a server whose idle limit a test can change.
func newServer(t *testing.T, header, idle time.Duration) (address string, setIdle func(time.Duration)) {
	t.Helper()
	var idleLimit atomic.Int64
	idleLimit.Store(int64(idle))
	l := New(func() (time.Duration, time.Duration) { return header, time.Duration(idleLimit.Load()) }, time.Now)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(600 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "ok")
	}))
	s.Config.ConnState = l.Observe
	s.Start()
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx, time.Tick(SweepInterval))
	t.Cleanup(func() {
		cancel()
		s.Close()
	})

	return s.Listener.Addr().String(), func(d time.Duration) { idleLimit.Store(int64(d)) }
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}

	return c, bufio.NewReader(c)
}

func ask(t *testing.T, c net.Conn, r *bufio.Reader, path string) {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	p, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	_, err = io.ReadAll(p.Body)
	is.NoErr(err)
	is.NoErr(p.Body.Close())
	is.Equal(p.StatusCode, http.StatusOK)
}

// Guards against closing a connection within its idle limit, against keeping one after the limit was lowered, and against aborting
// a request that takes longer than a connection may be idle.
func TestIdleLimitFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	address, setIdle := newServer(t, time.Minute, time.Minute)
	c, r := dial(t, address)
	ask(t, c, r, "/")
	time.Sleep(2 * SweepInterval)
	ask(t, c, r, "/")
	setIdle(100 * time.Millisecond)
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
	c, r = dial(t, address)
	ask(t, c, r, "/slow")
}

// Guards against a caller that keeps a connection open by sending its headers too slowly, and against closing its connection
// without the response that promises that nothing was run.
func TestLateHeaders(t *testing.T) {
	is := is.New(t)
	address, _ := newServer(t, 200*time.Millisecond, time.Minute)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo")
	is.NoErr(err)
	p, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer p.Body.Close()
	is.Equal(p.StatusCode, http.StatusRequestTimeout)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}
