package backendhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/headernames"
)

var names = headernames.Names{RequestID: "X-Id", DeadlineMillis: "X-Left", ExpectedServer: "X-Expect", NotRun: "X-Not-Run"}

func newCall() *call.Call {
	return &call.Call{ID: "r1", Method: http.MethodPost, Target: "/a%2Fb/c?x=1&y", Host: "h.example", Header: http.Header{"X-Other": {"1"}}, Body: []byte("body")}
}

// Guards against changing a request on its way to the backend server, and against omitting the headers by which the server
// decides whether to refuse it.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		left, _ := strconv.Atoi(r.Header.Get("X-Left"))
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Host, " ", string(body), " ", r.Header.Get("X-Id"), " ", r.Header.Get("X-Expect"),
			" ", r.Header.Get("X-Other"), " ", left > 0 && left <= 2000, " ", r.Header.Get("Last-Event-Id"), " ", r.Header["User-Agent"])
	}))
	defer server.Close()
	c := New(names, time.Now)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	resp, err := c.Send(ctx, backend.Server{ID: "s1", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}, newCall(), 7)
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(text), "POST /a%2Fb/c?x=1&y h.example body r1 s1 1 true 7 []")
}

// Guards against a wrong fault code for a request that has run, has not run, or may have run.
func TestOutcome(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		code     fault.Code
	}{
		{"answer", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok", ""},
		{"another request's response", "HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 2\r\n\r\nok", fault.CodeOutcomeUnknown},
		{"another server", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", fault.CodeBackendLeaving},
		{"refused", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", fault.CodeOverloaded},
		{"failure that may have run", "HTTP/1.1 503 Oops\r\nContent-Length: 0\r\n\r\n", ""},
		{"closed", "", fault.CodeOutcomeUnknown},
		{"not HTTP", "garbage\r\n\r\n", fault.CodeOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = conn.Write([]byte(c.response))
			}()
			resp, err := New(names, time.Now).Send(t.Context(), backend.Server{Address: netip.MustParseAddrPort(l.Addr().String())}, newCall(), 0)
			is.Equal(fault.CodeOf(err), c.code)
			if resp != nil {
				resp.Body.Close()
			}
		})
	}
}

// Guards against treating a refused connection as a request that may have run.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	_, err = New(names, time.Now).Send(t.Context(), backend.Server{Address: netip.MustParseAddrPort(l.Addr().String())}, newCall(), 0)
	is.Equal(fault.CodeOf(err), fault.CodeBackendUnreachable)
	is.True(fault.NotRun(err))
}

// Guards against forwarding hop-by-hop headers.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	h := EndToEnd(http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Te": {"x"}, "X-Kept": {"1"}})
	is.Equal(h, http.Header{"X-Kept": {"1"}})
}
