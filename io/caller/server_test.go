package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/job"
	"tarragonwalk/core/membership"
	"tarragonwalk/internal/faultylistener"
	"tarragonwalk/io/settings"
)

type fake struct {
	run func(context.Context, func(inference.Event) error) error
}

func (f *fake) Run(ctx context.Context, _ *inference.Request, on func(inference.Event) error) error {
	return f.run(ctx, on)
}

func (f *fake) Call(ctx context.Context, _ *inference.Request, _ bool, call func(context.Context, netip.AddrPort) error) error {
	return call(ctx, netip.AddrPort{})
}

func (f *fake) Do(ctx context.Context, _, _, _ string, call func(context.Context) (int, string, []byte, error)) (int, string, []byte, error) {
	return call(ctx)
}

func (f *fake) Current() *configuration.Configuration {
	d := sha256.Sum256([]byte("ka"))
	e := sha256.Sum256([]byte("kb"))

	return &configuration.Configuration{
		Version: 1,
		Batch:   configuration.BatchDefaults{MaxItems: 10, Attempts: 3},
		OnlineRoutes: configuration.ConfigurationOnlineRoutes{
			"m": {Kind: configuration.RouteKindModel, Deployment: "d", DeadlineMillis: 60000},
			"s": {Kind: configuration.RouteKindService, Deployment: "e", DeadlineMillis: 60000},
		},
		Workspaces: configuration.ConfigurationWorkspaces{
			"a": {KeyHashes: []string{hex.EncodeToString(d[:])}},
			"b": {KeyHashes: []string{hex.EncodeToString(e[:])}},
		},
	}
}

func (f *fake) Addresses(string, time.Time) membership.AddressList { return membership.AddressList{} }

type services struct{}

func (services) Call(context.Context, netip.AddrPort, string, string, map[string]string, []byte) (int, []byte, error) {
	return 201, []byte(`{}`), nil
}

// files holds one file and one job of workspace a.
type files struct{}

func owned(workspace, id string) error {
	if workspace != "a" || id != "x" {
		return fault.New(fault.CodeNotFound, "not found")
	}

	return nil
}

func (files) PutFile(_ context.Context, w, name string, _ io.Reader) (job.File, error) {
	return job.File{ID: "x", Workspace: w, Name: name}, nil
}

func (files) GetFile(_ context.Context, w, id string) (job.File, error) {
	return job.File{ID: id, Model: "m"}, owned(w, id)
}

func (files) ReadFile(_ context.Context, _, _ string, o io.Writer) error {
	_, err := io.WriteString(o, "line\n")

	return err
}

func (files) Submit(_ context.Context, s job.Submission) (job.Status, error) {
	return job.Status{Job: job.Job{ID: "x", Workspace: s.Workspace, State: job.JobStateOpen}}, nil
}

func (files) GetJob(_ context.Context, w, id string) (job.Status, error) {
	return job.Status{Job: job.Job{ID: id, State: job.JobStateCompleted}}, owned(w, id)
}

func (files) ListJobs(_ context.Context, w, _ string, _ int) ([]job.Status, bool, error) {
	if w != "a" {
		return nil, false, nil
	}

	return []job.Status{{Job: job.Job{ID: "x"}}}, false, nil
}

func (files) Cancel(_ context.Context, w, id string) (job.Status, error) {
	return job.Status{}, owned(w, id)
}

func (files) ReadResults(_ context.Context, _, _ string, o io.Writer) error {
	_, err := io.WriteString(o, "result\n")

	return err
}

func start(t *testing.T, run func(context.Context, func(inference.Event) error) error) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	return startOn(t, l, run)
}

func startOn(t *testing.T, l net.Listener, run func(context.Context, func(inference.Event) error) error, options ...func(*Server)) (*Server, string) {
	t.Helper()
	f := &fake{run: run}
	s := New(f, files{}, f, f, f, services{}, settings.LimitSettings{BodyBytes: 2048, FileBytes: 4096}, "z",
		100*time.Millisecond, slog.New(slog.DiscardHandler), time.Now)
	for _, o := range options {
		o(s)
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		<-done
	})

	return s, l.Addr().String()
}

func send(t *testing.T, address, method, path, body string, header ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer ka")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Body.Close() })

	return a
}

func tokens(n int, pause time.Duration) func(context.Context, func(inference.Event) error) error {
	return func(_ context.Context, on func(inference.Event) error) error {
		for i := 1; i <= n; i++ {
			e := inference.Event{Offset: i, Text: fmt.Sprintf("t%d.", i)}
			if i == n {
				e.Finish = "stop"
			}
			if err := on(e); err != nil {
				return err
			}
			time.Sleep(pause)
		}

		return nil
	}
}

const (
	chatBody   = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	batchBody  = `{"input_file_id":"x","endpoint":"/v1/chat/completions","completion_window":"%s"}`
)

// Guards against access across workspaces, wrong status codes, and accepting oversized or malformed input.
func TestRequests(t *testing.T) {
	_, address := start(t, tokens(3, 0))
	const chat = "/v1/chat/completions"
	other := []string{"Authorization", "Bearer kb"}
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		holds                    string
	}{
		{name: "missing key", method: "GET", path: "/v1/models", header: []string{"Authorization", ""}, status: 401},
		{name: "wrong key", method: "GET", path: "/v1/models", header: []string{"Authorization", "Bearer kc"}, status: 401},
		{name: "models", method: "GET", path: "/v1/models", status: 200, holds: `"id":"m"`},
		{name: "chat", method: "POST", path: chat, body: chatBody, status: 200, holds: "t1.t2.t3."},
		{name: "malformed", method: "POST", path: chat, body: `{"model":`, status: 400},
		{name: "null", method: "POST", path: chat, body: `null`, status: 400},
		{name: "unknown model", method: "POST", path: chat, body: strings.Replace(chatBody, `"m"`, `"q"`, 1), status: 404, holds: `"param":"model"`},
		{name: "over-long", method: "POST", path: chat, body: strings.Repeat(" ", 2049), status: 413},
		{name: "own file", method: "GET", path: "/v1/files/x/content", status: 200, holds: "line\n"},
		{name: "own results", method: "GET", path: "/v1/files/output-x/content", status: 200, holds: "result\n"},
		{name: "other's file", method: "GET", path: "/v1/files/x", header: other, status: 404},
		{name: "other's content", method: "GET", path: "/v1/files/x/content", header: other, status: 404},
		{name: "other's results", method: "GET", path: "/v1/files/output-x/content", header: other, status: 404},
		{name: "other's job", method: "GET", path: "/v1/batches/x", header: other, status: 404},
		{name: "cancel other's job", method: "POST", path: "/v1/batches/x/cancel", header: other, status: 404},
		{name: "list own", method: "GET", path: "/v1/batches", status: 200, holds: `"id":"x"`},
		{name: "list other's", method: "GET", path: "/v1/batches", header: other, status: 200, holds: `"data":[]`},
		{name: "submit other's file", method: "POST", path: "/v1/batches", body: fmt.Sprintf(batchBody, "1h"), header: other, status: 404},
		{name: "submit", method: "POST", path: "/v1/batches", body: fmt.Sprintf(batchBody, "1h"), status: 200},
		{name: "past window", method: "POST", path: "/v1/batches", body: fmt.Sprintf(batchBody, "-1h"), status: 400},
		{name: "long window", method: "POST", path: "/v1/batches", body: fmt.Sprintf(batchBody, "999h"), status: 400},
		{name: "no idempotency key", method: "POST", path: "/v1/services/s/p", status: 400},
		{name: "service", method: "POST", path: "/v1/services/s/p?q=1", header: []string{"Idempotency-Key", "k"}, status: 201},
		{name: "ready", method: "GET", path: "/readyz", status: 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := send(t, address, c.method, c.path, c.body, c.header...)
			defer a.Body.Close()
			b, err := io.ReadAll(a.Body)
			if err != nil || a.StatusCode != c.status || !strings.Contains(string(b), c.holds) {
				t.Fatalf("status %d, want %d with %q: %s %v", a.StatusCode, c.status, c.holds, b, err)
			}
		})
	}
}

// Guards against a refusal without its headers, and against the outcome "not-run" after tokens were generated.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	full := fault.New(fault.CodeOverloaded, "full")
	_, address := start(t, func(context.Context, func(inference.Event) error) error { return full })
	a := send(t, address, "POST", "/v1/chat/completions", streamBody, "X-Request-Id", "r1")
	defer a.Body.Close()
	is.Equal(a.StatusCode, 429)
	is.Equal(a.Header.Get("Retry-After"), "1")
	is.Equal(a.Header.Get("X-Tarragonwalk-Outcome"), "not-run")
	is.Equal(a.Header.Get("X-Request-Id"), "r1")
	_, address = start(t, func(_ context.Context, on func(inference.Event) error) error {
		_ = on(inference.Event{Offset: 1})

		return full
	})
	b := send(t, address, "POST", "/v1/chat/completions", chatBody)
	defer b.Body.Close()
	is.Equal(b.StatusCode, 502)
	is.Equal(b.Header.Get("X-Tarragonwalk-Outcome"), "")
}

// Guards against a continued stream that repeats or skips events.
func TestContinuation(t *testing.T) {
	is := is.New(t)
	_, address := start(t, tokens(4, 0))
	a := send(t, address, "POST", "/v1/chat/completions", streamBody, "X-Request-Id", "r1", "Last-Event-ID", "2")
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.True(!strings.Contains(string(b), "t2."))
	is.Equal(strings.Count(string(b), "id: "), 2)
	is.True(strings.Contains(string(b), "id: 3\n"))
	is.True(strings.HasSuffix(string(b), "data: [DONE]\n\n"))
}

// Guards against a graceful shutdown that cuts off a stream or still reports readiness.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	s, address := start(t, tokens(10, 50*time.Millisecond))
	a := send(t, address, "POST", "/v1/chat/completions", streamBody)
	defer a.Body.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	for !s.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	r := send(t, address, "GET", "/readyz", "")
	defer r.Body.Close()
	is.Equal(r.StatusCode, 503)
	is.True(r.Close) // Connection: close
	b, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(b), "data: [DONE]\n\n"))
	is.NoErr(<-stopped)
}

// gated is a listener whose Accept waits until a gate opens, as that of a process that gets no processor time.
type gated struct {
	*net.TCPListener
	gate  chan struct{}
	begun atomic.Bool
}

func (g *gated) Accept() (net.Conn, error) {
	g.begun.Store(true)
	<-g.gate

	return g.TCPListener.Accept()
}

// Guards against a planned stop that resets connections which the kernel has accepted and the process has not, with the requests that
// were sent on them.
func TestShutdownAnswersWaitingConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g := &gated{TCPListener: l.(*net.TCPListener), gate: make(chan struct{})}
	s, address := startOn(t, g, tokens(3, time.Millisecond))
	for !g.begun.Load() {
		time.Sleep(time.Millisecond)
	}
	var waiting []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ka\r\n"+
			"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(chatBody), chatBody)
		is.NoErr(err)
		waiting = append(waiting, c)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.Sleep(600 * time.Millisecond) // the time in which the stopping server accepts connections is over
	close(g.gate)
	for _, c := range waiting {
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		defer a.Body.Close()
		_, err = io.ReadAll(a.Body)
		is.NoErr(err)
		is.Equal(a.StatusCode, http.StatusOK)
	}
	is.NoErr(<-stopped)
	_, err = net.DialTimeout("tcp", address, time.Second)
	is.True(err != nil)
}

// Guards against a generation that continues after its caller has disconnected.
func TestDisconnect(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	_, address := start(t, func(ctx context.Context, _ func(inference.Event) error) error {
		<-ctx.Done()
		close(ended)

		return ctx.Err()
	})
	a := send(t, address, "POST", "/v1/chat/completions", streamBody)
	line, err := bufio.NewReader(a.Body).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, ": wait\n")
	a.Body.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the run continues after the caller has disconnected")
	}
}

// Guards against work that continues after a caller that waits for an unstreamed response has disconnected.
func TestDisconnectWithoutStream(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	_, address := start(t, func(ctx context.Context, _ func(inference.Event) error) error {
		<-ctx.Done()
		close(ended)

		return ctx.Err()
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
	is.NoErr(err)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ka\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(chatBody), chatBody)
	is.NoErr(err)
	select {
	case <-ended:
		t.Fatal("the run ended while the caller was waiting")
	case <-time.After(2 * disconnectCheckInterval):
	}
	is.NoErr(c.Close())
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the run continues after the caller has disconnected")
	}
}

// Guards against all callers of one availability zone using the same instance.
func TestSpread(t *testing.T) {
	is := is.New(t)
	list := []membership.Address{
		{Name: "a", Zone: "z1", Region: "r"},
		{Name: "b", Zone: "z1", Region: "r"},
		{Name: "c", Zone: "z1", Region: "r"},
		{Name: "d", Zone: "z2", Region: "r"},
	}
	first := map[string]int{}
	for range 300 {
		spread := spreadAddresses(list)
		first[spread[0].Name]++
		is.Equal(spread[3].Name, "d") // the order of the zones does not change
	}
	is.Equal(len(first), 3)
}

// Guards against a decoder that panics, or accepts a request without a model or messages.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(` null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeChat(b)
		if err == nil && (r.Model == "" || len(r.Messages) == 0 || len(prefix(r)) != 64) {
			t.Fatalf("accepted %q", b)
		}
	})
}

// Guards against an instance that accepts no callers any more after its kernel was short of memory once.
func TestAcceptAfterFailures(t *testing.T) {
	_, address := startOn(t, faultylistener.Listen(t, 3), nil)
	is := is.New(t)
	c := http.Client{Timeout: 20 * time.Second}
	p, err := c.Get("http://" + address + "/v1/models")
	is.NoErr(err)
	p.Body.Close()
}
