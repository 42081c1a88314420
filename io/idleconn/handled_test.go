package idleconn

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"tarragonwalk/internal/pausinglistener"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// arrivals are the places of a request that has arrived and is not handled yet.
var arrivals = []struct {
	name       string
	kept, read bool
}{
	{"new, not read", false, false},
	{"new, read", false, true},
	{"kept, not read", true, false},
	{"kept, read", true, true},
}

// pausedServer is a server with a caller whose request has arrived and is not handled yet.
type pausedServer struct {
	limiter  *Limiter
	listener *pausinglistener.Listener
	caller   net.Conn
	answers  *bufio.Reader
	// ahead is what the limiter's clock is ahead by.
	ahead atomic.Int64
}

func newPausedServer(t *testing.T, kept, read bool) *pausedServer {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := &pausedServer{}
	now := func() time.Time { return time.Now().Add(time.Duration(p.ahead.Load())) }
	p.limiter = New(func() (time.Duration, time.Duration) { return time.Minute, time.Minute }, now, slog.New(slog.DiscardHandler))
	p.limiter.sweep() // the limits are known
	p.listener = pausinglistener.New(p.limiter.Listen(listener))
	s := &http.Server{
		Handler: p.limiter.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/first" {
				w.Header().Set("Connection", "close")
			}
		})),
		ConnState:   p.limiter.Observe,
		ConnContext: p.limiter.ConnContext,
	}
	go func() { _ = s.Serve(p.listener) }()
	t.Cleanup(func() { _ = s.Close() })
	p.caller, p.answers = dial(t, listener.Addr().String())
	if kept {
		asked := make(chan struct{})
		go func() {
			defer close(asked)
			ask(t, p.caller, p.answers, "/first")
		}()
		for range 2 { // the server begins a second read while it handles the request, and abandons it
			p.listener.Take()
			p.listener.Return()
		}
		<-asked
	}
	_, err = io.WriteString(p.caller, request)
	is.NoErr(err)
	if read {
		p.listener.Take()
	}
	time.Sleep(50 * time.Millisecond) // the state of the connection is known

	return p
}

// resume ends the pause; the request has to be answered.
func (p *pausedServer) resume(t *testing.T) {
	t.Helper()
	is := is.New(t)
	p.listener.Resume()
	a, err := http.ReadResponse(p.answers, nil)
	is.NoErr(err)
	is.NoErr(a.Body.Close())
	is.Equal(a.StatusCode, http.StatusOK)
	is.True(a.Close)
}

// Guards against a request that gets neither an answer nor a refusal since it had arrived, and was not handled yet, when the process closed
// its connection at a stop.
func TestShutdownAnswersRequestsNotHandledYet(t *testing.T) {
	for _, c := range arrivals {
		t.Run(c.name, func(t *testing.T) {
			p := newPausedServer(t, c.kept, c.read)
			stopped := make(chan error, 1)
			go func() { stopped <- p.limiter.Shutdown(t.Context()) }()
			time.Sleep(200 * time.Millisecond)
			p.resume(t)
			is.New(t).NoErr(<-stopped)
		})
	}
}

// dialing is a listener to which a caller connects, and sends a request, just before it closes.
type dialing struct {
	*net.TCPListener
	dialed chan error
}

func (l *dialing) Close() error {
	c, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		_, err = io.WriteString(c, request)
	}
	l.dialed <- err

	return l.TCPListener.Close()
}

// Guards against a request that is reset with its connection, which was made while the stopping process closed its listener.
func TestShutdownRefusesConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := New(func() (time.Duration, time.Duration) { return time.Minute, time.Minute }, time.Now, slog.New(slog.DiscardHandler))
	d := &dialing{
		TCPListener: listener.(*net.TCPListener),
		dialed:      make(chan error, 1),
	}
	l.Listen(d)
	is.NoErr(l.Shutdown(t.Context()))
	is.True(errors.Is(<-d.dialed, unix.ECONNREFUSED))
}

// Guards against a request that gets 408, or no answer, since it had arrived in time and was not handled yet when the time of its connection
// was over.
func TestLimitsKeepRequestsNotHandledYet(t *testing.T) {
	for _, c := range arrivals {
		t.Run(c.name, func(t *testing.T) {
			p := newPausedServer(t, c.kept, c.read)
			p.ahead.Store(int64(2 * time.Minute))
			p.limiter.sweep()
			p.resume(t)
		})
	}
}
