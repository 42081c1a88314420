package operator

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/internal/pausinglistener"
)

// Guards against an operator's request that gets no answer since it had arrived, and was not handled yet, when the process closed its
// connection at a stop: the operator would not know whether the configuration has changed.
func TestShutdownAnswersRequestsNotHandledYet(t *testing.T) {
	for _, c := range []struct {
		name string
		read bool
	}{
		{"not read", false},
		{"read", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{current: configured(1)}
			s := New(f, f, nil, nil, nil, hash("first"), slog.New(slog.DiscardHandler), time.Now)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			p := pausinglistener.New(nil)
			s.Secure(func(inner net.Listener) net.Listener {
				p.Listener = inner

				return p
			})
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = s.Serve(l)
			}()
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
			answers := bufio.NewReader(conn)
			send := func() {
				t.Helper()
				_, err := io.WriteString(conn, "GET /admin/v1/configuration HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer read\r\n\r\n")
				is.NoErr(err)
			}
			answer := func() (closes bool) {
				t.Helper()
				a, err := http.ReadResponse(answers, nil)
				is.NoErr(err)
				defer a.Body.Close()
				_, err = io.ReadAll(a.Body)
				is.NoErr(err)
				is.Equal(a.StatusCode, http.StatusOK)

				return a.Close
			}
			send()
			p.Take()
			p.Return()
			is.True(!answer())
			send()
			if c.read {
				p.Take()
			}
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			time.Sleep(500 * time.Millisecond) // a server that closes idle connections has closed this one
			p.Resume()
			is.True(answer())
			is.NoErr(<-stopped)
			<-ended
		})
	}
}
