package backendhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/headernames"
)

var names = headernames.Names{RequestID: "X-Id", DeadlineMillis: "X-Left", ExpectedServer: "X-Expect", NotRun: "X-Not-Run", ServerLeaving: "X-Leaving", APIKey: "X-Key", Workspace: "X-Workspace"}

func noBudget() *bytebudget.Budget { return bytebudget.New(math.MaxInt) }

// departures records what a client reports.
type departures struct {
	lock sync.Mutex
	list []string
}

func (d *departures) RecordDeparture(s backend.Server, request string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.list = append(d.list, fmt.Sprint(s.ID, "/", s.StartedAt, " ", request))
}

func (d *departures) RecordDepartureAt(address netip.AddrPort, holder, request string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.list = append(d.list, fmt.Sprint("not ", holder, " ", request))
}

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
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Host, " ", string(body), " ", r.Header.Get("X-Id"), " ", r.Header.Get("X-Expect"),
			" ", r.Header.Get("X-Other"), " ", left > 0 && left <= 2000, " ", r.Header.Get("Last-Event-Id"), " ", r.Header["User-Agent"])
	}))
	defer server.Close()
	c := New(names, &departures{}, noBudget(), time.Now)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	resp, err := c.Send(ctx, backend.Server{ID: "s1", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}, newCall(), 7)
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(text), "POST /a%2Fb/c?x=1&y h.example body r1 s1 1 true 7 []")
}

// Guards against a key that reaches a backend server, and against the name of a workspace that a caller made up.
func TestIdentity(t *testing.T) {
	sent := http.Header{"X-Key": {"k", "l"}, "X-Workspace": {"made-up", "b"}, "X-Other": {"1"}}
	for _, c := range []struct {
		name       string
		identified bool
		workspace  string
		want       http.Header
	}{
		{"known", true, "a", http.Header{"X-Workspace": {"a"}, "X-Other": {"1"}}},
		{"public", true, "", http.Header{"X-Other": {"1"}}},
		{"no workspaces", false, "", sent},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var received http.Header
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received = r.Header
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
			}))
			defer server.Close()
			q := newCall()
			q.Header, q.Identified, q.Workspace = sent.Clone(), c.identified, c.workspace
			for range 2 { // a further attempt
				resp, err := New(names, &departures{}, noBudget(), time.Now).Send(t.Context(), backend.Server{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}, q, 0)
				is.NoErr(err)
				resp.Body.Close()
				for _, name := range []string{"X-Key", "X-Workspace", "X-Other"} {
					is.Equal(received.Values(name), c.want.Values(name))
				}
			}
		})
	}
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
			resp, err := New(names, &departures{}, noBudget(), time.Now).Send(t.Context(), backend.Server{Address: netip.MustParseAddrPort(l.Addr().String())}, newCall(), 0)
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
	_, err = New(names, &departures{}, noBudget(), time.Now).Send(t.Context(), backend.Server{Address: netip.MustParseAddrPort(l.Addr().String())}, newCall(), 0)
	is.Equal(fault.CodeOf(err), fault.CodeBackendUnreachable)
	is.True(fault.NotRun(err))
}

// Guards against a connection attempt that lasts as long as two servers may work on one request: the second server is given up then, and
// counts as one that may have run the request.
func TestUnreachableWithinOverlap(t *testing.T) {
	const overlap = 300 * time.Millisecond
	is := is.New(t)
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	defer syscall.Close(socket)
	is.NoErr(syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(socket, 0))
	bound, err := syscall.Getsockname(socket)
	is.NoErr(err)
	server := backend.Server{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(bound.(*syscall.SockaddrInet4).Port))}
	// Once the queue of the listener is full, it answers no further connection.
	for err == nil {
		var c net.Conn
		if c, err = net.DialTimeout("tcp4", server.Address.String(), time.Second/2); err == nil {
			defer c.Close()
		}
	}
	shortest := time.Hour
	for range 5 {
		startedAt := time.Now()
		_, err = New(names, &departures{}, noBudget(), time.Now).Send(t.Context(), server, newCall(), 0)
		shortest = min(shortest, time.Since(startedAt))
		is.Equal(fault.CodeOf(err), fault.CodeBackendUnreachable)
	}
	is.True(shortest < overlap)
}

// Guards against forwarding hop-by-hop headers.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	h := EndToEnd(http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Te": {"x"}, "X-Kept": {"1"}})
	is.Equal(h, http.Header{"X-Kept": {"1"}})
}

// rawServer accepts connections and lets handle talk on each of them.
func rawServer(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) backend.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()

	return backend.Server{ID: "w", Address: netip.MustParseAddrPort(l.Addr().String())}
}

// Guards against a request that the HTTP library sends again by itself, and that runs twice, after its connection was lost without an
// answer: it has no body and a method or a header by which the library takes it for idempotent.
func TestLostAnswerIsNotAskedForAgain(t *testing.T) {
	for _, c := range []struct {
		method string
		header http.Header
		body   string
		reset  bool
	}{
		{method: http.MethodGet},
		{method: http.MethodGet, reset: true},
		{method: http.MethodHead},
		{method: http.MethodOptions},
		{method: http.MethodTrace},
		{method: http.MethodDelete},
		{method: http.MethodPost},
		{method: http.MethodPost, header: http.Header{"Idempotency-Key": {"k"}}},
		{method: http.MethodPost, header: http.Header{"Idempotency-Key": {"k"}}, reset: true},
		{method: http.MethodPost, header: http.Header{"Idempotency-Key": {"k"}}, body: "x"},
		{method: http.MethodPut, header: http.Header{"X-Idempotency-Key": {"k"}}},
		{method: http.MethodDelete, header: http.Header{"Idempotency-Key": {"k"}}},
	} {
		t.Run(fmt.Sprint(c.method, " ", c.header, " ", c.body, " ", c.reset), func(t *testing.T) {
			is := is.New(t)
			runs := map[string]int{}
			var lock sync.Mutex
			s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					id := r.Header.Get(names.RequestID)
					lock.Lock()
					runs[id]++
					lock.Unlock()
					if strings.HasPrefix(id, "lost") {
						if c.reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}

						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 204 No Content\r\n%s: %s\r\n\r\n", names.RequestID, id)
				}
			})
			client := New(names, &departures{}, noBudget(), time.Now)
			defer client.Close()
			send := func(id string) error {
				resp, err := client.Send(t.Context(), s, &call.Call{ID: id, Method: c.method, Target: "/x", Host: "h", Header: c.header.Clone(), Body: []byte(c.body)}, 0)
				if err == nil {
					resp.Body.Close()
				}

				return err
			}
			for n := range 3 {
				is.NoErr(send(fmt.Sprint("kept", n)))
				is.Equal(fault.CodeOf(send(fmt.Sprint("lost", n))), fault.CodeOutcomeUnknown)
			}
			lock.Lock()
			defer lock.Unlock()
			is.Equal(len(runs), 6)
			for id, n := range runs {
				if n != 1 {
					t.Errorf("request %s ran %d times", id, n)
				}
			}
		})
	}
}

// Guards against bytes that belong to no request and reach a caller as a success: a server sends them after a complete answer, before the
// next request on the connection, at the same time or a little after it; or in place of an answer on a new connection.
func TestResponseWithoutIDIsNoSuccess(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nnot an answer 123"
	for _, c := range []struct {
		name  string
		first bool
		pause time.Duration
		extra string
	}{
		{"at once", false, 0, extra},
		{"with the next request", false, -1, extra},
		{"while the next request runs", false, 5 * time.Millisecond, extra},
		{"on a new connection", true, -1, extra},
		{"as a failure", false, -1, strings.Replace(extra, "200 OK", "500 Oops", 1)},
		{"as a stream", false, -1, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				for n := 0; ; n++ {
					id, err := readRequest(reader)
					if err != nil {
						return
					}
					if c.pause < 0 && (n > 0 || c.first) {
						_, _ = io.WriteString(conn, c.extra)
					}
					time.Sleep(10 * time.Millisecond)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, id, len(id), id)
					if c.pause >= 0 {
						time.AfterFunc(c.pause, func() { _, _ = io.WriteString(conn, c.extra) })
					}
				}
			})
			client := New(names, &departures{}, noBudget(), time.Now)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			succeeded := 0
			for n := range 20 {
				id := fmt.Sprint(n)
				resp, err := client.Send(ctx, s, &call.Call{ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}, 0)
				if err != nil {
					is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)

					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				is.NoErr(err)
				is.Equal(string(body), id)
				succeeded++
			}
			is.True(c.first == (succeeded == 0)) // connections are not used again after such bytes
		})
	}
}

// Guards against a second copy of the answer to a request without an ID that reaches the next caller on the connection as its own.
func TestSecondCopyOfAnswerWithoutID(t *testing.T) {
	is := is.New(t)
	s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		for err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 1\r\n\r\n", names.RequestID, r.Header.Get(names.RequestID))
			_, _ = io.WriteString(conn, answer+"a")
			if r, err = http.ReadRequest(reader); err == nil {
				_, _ = io.WriteString(conn, answer+"a")
			}
		}
	})
	client := New(names, &departures{}, noBudget(), time.Now)
	defer client.Close()
	for _, id := range []string{"", "2"} {
		resp, err := client.Send(t.Context(), s, &call.Call{ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}, 0)
		is.NoErr(err)
		is.Equal(resp.Header.Get(names.RequestID), id)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		time.Sleep(10 * time.Millisecond) // the transport keeps the connection
	}
}

// Guards against a second copy of an answer, sent late on a connection that is in use again, that reaches the next caller as its own:
// while the connection is idle, just before the next request and just after it.
func TestSecondCopyOfAnswer(t *testing.T) {
	const first, second = "answer to request 1", "answer to request 2"
	answer := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, id, len(body), body)
	}
	for _, c := range []struct {
		name string
		// delay is the time from the first answer to its copy, 0 for none; next is the time to the next request.
		delay, next time.Duration
		// after lets the copy come when the next request has arrived.
		after bool
	}{
		{"while idle", 20 * time.Millisecond, 100 * time.Millisecond, false},
		{"in the same packet", 0, 50 * time.Millisecond, false},
		{"at the next request", 30 * time.Millisecond, 30 * time.Millisecond, false},
		{"in place of the next answer", 0, 10 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					id := r.Header.Get(names.RequestID)
					body := second
					if id == "1" {
						body = first
					}
					if id == "2" && c.after {
						_, _ = io.WriteString(conn, answer("1", first))
					}
					text := answer(id, body)
					if id == "1" && c.delay == 0 && !c.after {
						text += text
					}
					_, _ = io.WriteString(conn, text)
					if id == "1" && c.delay > 0 {
						time.AfterFunc(c.delay, func() { _, _ = io.WriteString(conn, text) })
					}
				}
			})
			client := New(names, &departures{}, noBudget(), time.Now)
			defer client.Close()
			send := func(id string) (string, error) {
				resp, err := client.Send(t.Context(), s, &call.Call{ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}, 0)
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)

				return string(body), err
			}
			body, err := send("1")
			is.NoErr(err)
			is.Equal(body, first)
			time.Sleep(c.next)
			lost := 0
			for n := 2; n <= 6; n++ {
				body, err = send(strconv.Itoa(n))
				if err != nil {
					is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown) // it may have run
					lost++

					continue
				}
				is.Equal(body, second)
			}
			is.True(lost <= 1) // the connection is not used again
		})
	}
}

// Guards against a server that sends a head without end, which would fill the memory, and against bodies that break off or never end
// and look complete.
func TestAnswersWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name, head, body string
		// repeat is sent after the body until the client closes.
		repeat string
		// failsAtHead is set if the failure comes with the head.
		failsAtHead bool
	}{
		{"head of one endless line", "HTTP/1.1 200 OK\r\nX: ", "", strings.Repeat("a", 1000), true},
		{"endless headers", "HTTP/1.1 200 OK\r\n", "", "X: " + strings.Repeat("a", 100) + "\r\n", true},
		{"endless informational responses", "", "", "HTTP/1.1 102 Processing\r\n\r\n", true},
		{"no answer at all", "", "", strings.Repeat("x", 1000), true},
		{"short body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\n", "half", "", false},
		{"chunks without their end", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, err = io.WriteString(conn, c.head+c.body)
				for c.repeat != "" && err == nil {
					var n int
					n, err = io.WriteString(conn, c.repeat)
					sent.Add(int64(n))
				}
			})
			client := New(names, &departures{}, noBudget(), time.Now)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			resp, err := client.Send(ctx, s, &call.Call{ID: "1", Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}, 0)
			if c.failsAtHead {
				is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)
				is.NoErr(ctx.Err())          // not only at the deadline
				is.True(sent.Load() < 8<<20) // the rest is in the buffers of the system
				return
			}
			is.NoErr(err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			is.True(err != nil)
		})
	}
}

// Guards against a backend server that announces that it stops and is not taken at its word, whatever else its response says, and
// against one that is taken out of use by bytes that are no announcement of its own.
func TestAnnouncedDeparture(t *testing.T) {
	const announced = "w/7 r1"
	for _, c := range []struct {
		name, response string
		want           []string
	}{
		{"success", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nContent-Length: 2\r\n\r\nok", []string{announced}},
		{"failure", "HTTP/1.1 500 Oops\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", []string{announced}},
		{"refused", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", []string{announced}},
		{"too many", "HTTP/1.1 429 Slow\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", []string{announced}},
		{"another server", "HTTP/1.1 421 Misdirected\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", []string{"not w r1"}},
		{"head of a stream", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", []string{announced}},
		{"named as a header of the connection", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nConnection: close, X-Leaving\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", []string{announced}},
		{"twice", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", []string{announced}},
		{"twice with other values", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nX-Leaving: 0\r\nContent-Length: 0\r\n\r\n", nil},
		{"other value", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: true\r\nContent-Length: 0\r\n\r\n", nil},
		{"empty", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving:\r\nContent-Length: 0\r\n\r\n", nil},
		{"trailer", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Leaving\r\n\r\n0\r\nX-Leaving: 1\r\n\r\n", nil},
		{"informational", "HTTP/1.1 102 Wait\r\nX-Leaving: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", nil},
		{"another request's response", "HTTP/1.1 200 OK\r\nX-Id: r2\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", nil},
		{"in no request's response", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, c.response)
				_, _ = reader.ReadByte() // until the client closes
			})
			s.StartedAt = 7
			d := &departures{}
			client := New(names, d, noBudget(), time.Now)
			resp, err := client.Send(t.Context(), s, newCall(), 0)
			d.lock.Lock()
			is.Equal(d.list, c.want) // known with the head, before the body has ended
			d.lock.Unlock()
			if err == nil {
				if c.name != "head of a stream" {
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				is.True(c.want == nil || c.name == "named as a header of the connection" || resp.Header.Get("X-Leaving") == "1") // it is passed on
				resp.Body.Close()
			}
			time.Sleep(10 * time.Millisecond)
			client.Close()
			d.lock.Lock()
			defer d.lock.Unlock()
			is.Equal(d.list, c.want)
		})
	}
}

// refusal is a response that says that the request with an ID has not run.
func refusal(status, id, body string) string {
	text := "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if !strings.HasPrefix(status, "421") {
		text += names.NotRun + ": 1\r\n"
	}
	if id != "" {
		text += names.RequestID + ": " + id + "\r\n"
	}

	return text + "\r\n" + body
}

func readRequest(reader *bufio.Reader) (id string, err error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, r.Body)

	return r.Header.Get(names.RequestID), err
}

// Guards against an earlier refusal, written once more on a kept connection, that is taken for the answer to the same request sent
// again, which the server runs: its caller would be told that it has not run, or it would run at a second server.
func TestRepeatedRefusal(t *testing.T) {
	for _, status := range []string{"503 Full", "429 Full", "421 Misdirected"} {
		for _, body := range []string{"", "full"} {
			t.Run(status+" "+body, func(t *testing.T) {
				is := is.New(t)
				var received, ran atomic.Int64
				s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
					refused := false
					for {
						id, err := readRequest(reader)
						if err != nil {
							return
						}
						if received.Add(1) == 1 {
							refused = true
							_, _ = io.WriteString(conn, refusal(status, id, body))

							continue
						}
						ran.Add(1)
						if refused {
							_, _ = io.WriteString(conn, refusal(status, id, body))
							time.Sleep(20 * time.Millisecond)
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+names.RequestID+": "+id+"\r\nContent-Length: 2\r\n\r\nok")
					}
				})
				client := New(names, &departures{}, noBudget(), time.Now)
				defer client.Close()
				_, err := client.Send(t.Context(), s, newCall(), 0)
				is.True(fault.NotRun(err))
				resp, err := client.Send(t.Context(), s, newCall(), 0)
				is.Equal(ran.Load(), int64(1))
				is.True(!fault.NotRun(err)) // it was running
				is.NoErr(err)
				resp.Body.Close()
			})
		}
	}
}

// Guards against a refusal that does not say to which request it belongs and that counts as one of a request that the server runs.
func TestRefusalWithoutID(t *testing.T) {
	for _, status := range []string{"503 Full", "421 Misdirected"} {
		for _, body := range []string{"", "full"} {
			t.Run(status+" "+body, func(t *testing.T) {
				is := is.New(t)
				var received atomic.Int64
				s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
					for {
						id, err := readRequest(reader)
						if err != nil {
							return
						}
						text := refusal(status, "", body)
						if received.Add(1) == 2 {
							text = "HTTP/1.1 204 OK\r\n" + names.RequestID + ": " + id + "\r\n\r\n"
						}
						_, _ = io.WriteString(conn, text)
					}
				})
				client := New(names, &departures{}, noBudget(), time.Now)
				defer client.Close()
				_, err := client.Send(t.Context(), s, newCall(), 0)
				is.True(fault.NotRun(err)) // no other response can have been sent on this connection
				resp, err := client.Send(t.Context(), s, newCall(), 0)
				is.NoErr(err)
				resp.Body.Close()
				_, err = client.Send(t.Context(), s, newCall(), 0)
				is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)
			})
		}
	}
}

// Guards against a late copy of a response without a body, after which each request on the connection would get the response of the
// one before.
func TestLateRefusalEndsConnection(t *testing.T) {
	is := is.New(t)
	s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			if id == "1" {
				_, _ = io.WriteString(conn, refusal("503 Full", "0", ""))
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 204 OK\r\n"+names.RequestID+": "+id+"\r\n\r\n")
		}
	})
	client := New(names, &departures{}, noBudget(), time.Now)
	defer client.Close()
	for n := range 5 {
		q := newCall()
		q.ID = strconv.Itoa(n)
		resp, err := client.Send(t.Context(), s, q, 0)
		if n == 1 {
			is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown) // the refusal is not this request's

			continue
		}
		is.NoErr(err)
		resp.Body.Close()
	}
}

// Guards against a connection that is closed after a refusal while another request has taken it from the pool already.
func TestRefusalCutsNoOtherRequest(t *testing.T) {
	const senders, requests = 16, 300
	is := is.New(t)
	var runs sync.Map
	s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			if rand.IntN(3) == 0 {
				_, _ = io.WriteString(conn, refusal("503 Full", id, ""))

				continue
			}
			runs.Store(id, true)
			_, _ = io.WriteString(conn, "HTTP/1.1 204 OK\r\n"+names.RequestID+": "+id+"\r\n\r\n")
		}
	})
	client := New(names, &departures{}, noBudget(), time.Now)
	defer client.Close()
	var wrong atomic.Int64
	p := pool.New()
	for k := range senders {
		p.Go(func() {
			for n := range requests {
				q := newCall()
				q.ID = fmt.Sprintf("%d-%d", k, n)
				if n%2 == 0 {
					q.Method, q.Body = http.MethodGet, nil
				}
				resp, err := client.Send(t.Context(), s, q, 0)
				_, ran := runs.Load(q.ID)
				if err == nil {
					resp.Body.Close()
				}
				if ran != (err == nil) || err != nil && !fault.NotRun(err) {
					wrong.Add(1)
					t.Logf("request %s: ran %v, %v", q.ID, ran, err)
				}
			}
		})
	}
	p.Wait()
	is.Equal(wrong.Load(), int64(0))
}

// Guards against heads without end that fill the memory together, although each of them is short enough.
func TestHeadsStayInMemory(t *testing.T) {
	is := is.New(t)
	const calls = 20
	waiting := make(chan struct{}, calls)
	s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("a", maxHeadBytes/2))
		waiting <- struct{}{}
		_, _ = io.Copy(io.Discard, reader) // until the client closes
		<-waiting
	})
	client := New(names, &departures{}, bytebudget.New(4*maxHeadBytes), time.Now)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	ended := make(chan error, calls)
	for n := range calls {
		go func() {
			resp, err := client.Send(ctx, s, &call.Call{ID: fmt.Sprint(n), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}, 0)
			if err == nil {
				resp.Body.Close()
			}
			ended <- err
		}()
	}
	for range calls - 9 { // eight fit, and one may not have arrived whole
		is.Equal(fault.CodeOf(<-ended), fault.CodeOutcomeUnknown)
	}
	is.NoErr(ctx.Err())
}

// Guards against an answer that ends within its head and counts as a success, however much of the head has come.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"stream", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"length", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 100\r\n\r\n"},
		{"no body", "HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n"},
		{"refusal", "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"after an informational response", "HTTP/1.1 103 Early Hints\r\nX-Id: r1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for cut := range len(c.head) {
				s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
					if _, err := readRequest(reader); err == nil {
						_, _ = io.WriteString(conn, c.head[:cut])
					}
				})
				client := New(names, &departures{}, noBudget(), time.Now)
				resp, err := client.Send(t.Context(), s, newCall(), 0)
				if fault.CodeOf(err) != fault.CodeOutcomeUnknown {
					t.Errorf("cut after %q: %v", c.head[:cut], err)
				}
				if err == nil {
					resp.Body.Close()
				}
				client.Close()
			}
		})
	}
}
