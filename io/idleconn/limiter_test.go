package idleconn

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
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
	l := New(func() (time.Duration, time.Duration) { return header, time.Duration(idleLimit.Load()) }, time.Now, slog.New(slog.DiscardHandler))
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

// slowClose is a listener whose connections wait for a release before they close.
type slowClose struct {
	net.Listener
	closing chan net.Conn
	release chan struct{}
}

func (l *slowClose) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()

	return &slowConn{
		Conn:     c,
		listener: l,
	}, err
}

type slowConn struct {
	net.Conn
	listener *slowClose
	once     sync.Once
}

func (c *slowConn) NetConn() net.Conn {
	return c.Conn
}

func (c *slowConn) Close() error {
	c.once.Do(func() {
		c.listener.closing <- c
		<-c.listener.release
	})

	return c.Conn.Close()
}

// Guards against a request that runs while its connection is closed as idle, so that its caller gets no answer or is told that it has not
// run: it arrives after the limiter has decided to close the connection.
func TestRequestOnClosingConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		close func(l *Limiter)
		first string
	}{
		{"idle for too long", (*Limiter).sweep, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"closed at a stop", func(l *Limiter) { l.closeIdle() }, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"late headers", (*Limiter).sweep, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New(func() (time.Duration, time.Duration) { return time.Millisecond, time.Millisecond }, time.Now, slog.New(slog.DiscardHandler))
			handled := make(chan string, 10)
			s := httptest.NewUnstartedServer(l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handled <- r.URL.Path })))
			listener := &slowClose{
				Listener: s.Listener,
				closing:  make(chan net.Conn),
				release:  make(chan struct{}),
			}
			s.Listener, s.Config.ConnState, s.Config.ConnContext = listener, l.Observe, l.ConnContext
			s.Start()
			defer s.Close()
			conn, r := dial(t, s.Listener.Addr().String())
			if c.first != "" {
				ask(t, conn, r, "/first")
				is.Equal(<-handled, "/first")
			}
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				for { // the connection has to be known, and idle for some time
					time.Sleep(5 * time.Millisecond)
					c.close(l)
					select {
					case <-listener.release:
						return
					default:
					}
				}
			}()
			<-listener.closing
			_, err := io.WriteString(conn, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			select {
			case path := <-handled:
				t.Errorf("request %s was handled", path)
			case <-time.After(200 * time.Millisecond):
			}
			close(listener.release)
			<-stopped
		})
	}
}

// Guards against a request that the kernel takes after the decision to close its connection, which resets it without an answer.
func TestClosingConnectionTakesNothing(t *testing.T) {
	is := is.New(t)
	l := New(func() (time.Duration, time.Duration) { return time.Minute, time.Minute }, time.Now, slog.New(slog.DiscardHandler))
	s := httptest.NewUnstartedServer(l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	listener := &slowClose{
		Listener: l.Listen(s.Listener),
		closing:  make(chan net.Conn),
		release:  make(chan struct{}),
	}
	s.Listener, s.Config.ConnState, s.Config.ConnContext = listener, l.Observe, l.ConnContext
	s.Start()
	defer s.Close()
	conn, r := dial(t, s.Listener.Addr().String())
	ask(t, conn, r, "/")
	release := sync.OnceFunc(func() { close(listener.release) })
	defer release()
	stopped := make(chan error, 1)
	go func() { stopped <- l.Shutdown(t.Context()) }()
	<-listener.closing
	_, err := r.ReadByte()
	is.Equal(err, io.EOF) // the caller knows before the connection is closed
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	_, err = conn.Write([]byte(" "))
	for ; err == nil; _, err = conn.Write([]byte(" ")) { // the answer to the first write may be on its way
		time.Sleep(time.Millisecond)
	}
	release()
	is.NoErr(<-stopped)
}

// Guards against closing connections at once when the configured limit becomes shorter, while their callers still count on the longer one.
func TestCallersLearnOfShorterLimit(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := 10 * time.Second
	l := New(func() (time.Duration, time.Duration) { return time.Minute, limit }, func() time.Time { return at }, slog.New(slog.DiscardHandler))
	c, other := net.Pipe()
	defer other.Close()
	l.Observe(c, http.StateIdle)
	l.sweep()
	at = at.Add(8 * time.Second)
	limit = 2 * time.Second
	l.sweep()
	is.Equal(len(l.expired(time.Minute, limit, at)), 0)
	at = at.Add(limit + time.Millisecond)
	is.Equal(len(l.expired(time.Minute, limit, at)), 1)
}
