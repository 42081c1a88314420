package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/internal/pausinglistener"
)

// Guards against a request that gets neither an answer nor a refusal since it had arrived, and was not handled yet, when the process closed
// its connection at a stop.
func TestShutdownAnswersRequestsNotHandledYet(t *testing.T) {
	for _, c := range []struct {
		name       string
		kept, read bool
	}{
		{"new, not read", false, false},
		{"new, read", false, true},
		{"kept, not read", true, false},
		{"kept, read", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			p := pausinglistener.New(nil)
			s, address := startOn(t, listener, tokens(3, time.Millisecond), func(s *Server) {
				s.Secure(func(l net.Listener) net.Listener {
					p.Listener = l

					return p
				})
			})
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
			answers := bufio.NewReader(conn)
			send := func() {
				t.Helper()
				_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ka\r\n"+
					"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(chatBody), chatBody)
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
			if c.kept {
				send()
				p.Take()
				p.Return()
				is.True(!answer())
			}
			send()
			if c.read {
				p.Take()
			}
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			time.Sleep(time.Second) // the time in which the stopping server accepts connections is over
			p.Resume()
			is.True(answer())
			is.NoErr(<-stopped)
		})
	}
}
