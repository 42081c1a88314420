package forward

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/quarantine"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
)

// reply is what the fake backend server does with one attempt.
type reply struct {
	status int
	body   string
	err    error
	// broken ends the body with an error; hung lets it block until the attempt is canceled, dripping lets it send a comment now
	// and then until then. slow is the pause before each event.
	broken, hung, dripping bool
	// mute lets the server accept the request and send nothing until the attempt is canceled.
	mute bool
	slow time.Duration
	// first is the pause before the first event if it is another one, and wait the time until the server answers at all.
	first, wait time.Duration
	// stream sets the content type of an event stream, which a body that begins with an id has anyway.
	stream bool
}

func noQuarantine() *quarantine.Quarantine {
	return quarantine.New(nil, time.Now, slog.New(slog.DiscardHandler))
}

type span struct{ from, to time.Time }

// backends are the fake backend servers with all that depends on them.
type backends interface {
	sender
	placer
	roster
	preempter
}

func newForwarder(b backends) *Forwarder {
	return New(b, b, b, b, noQuarantine(), noBudget(), nil, time.Now, slog.New(slog.DiscardHandler))
}

type fake struct {
	// probes counts the requests that might have gone to an ejected server.
	probes int
	// lock guards servers, after, released, spans and failed.
	lock     sync.Mutex
	replies  []reply
	after    []int64
	servers  []string
	released int
	// spans holds when each attempt has held its reservation, in the order of their ends.
	spans          []span
	failed         []string
	free           bool
	oversubscribed bool
	loadLimits     []float64
}

func (f *fake) Send(ctx context.Context, s backend.Server, _ *call.Call, after int64) (*response.Response, error) {
	f.lock.Lock()
	r := f.replies[len(f.servers)]
	f.servers = append(f.servers, s.ID)
	f.after = append(f.after, after)
	f.lock.Unlock()
	time.Sleep(r.wait)
	if r.mute {
		<-ctx.Done()

		return nil, ctx.Err()
	}
	if r.err != nil {
		return nil, r.err
	}
	h := http.Header{"Stamp": {s.ID}}
	if r.stream || strings.HasPrefix(r.body, "id:") {
		h.Set("Content-Type", "text/event-stream")
	}
	body := io.Reader(strings.NewReader(r.body))
	if r.slow > 0 {
		body = &slowReader{ctx: ctx, events: slices.DeleteFunc(strings.SplitAfter(r.body, "\n\n"), func(e string) bool { return e == "" }), pause: r.slow, first: r.first}
	}
	if r.broken {
		body = io.MultiReader(body, errorReader{})
	}
	if r.dripping {
		body = io.MultiReader(body, drippingReader{ctx: ctx})
	}
	if r.hung {
		body = io.MultiReader(body, hungReader{ctx: ctx})
	}

	return &response.Response{Status: r.status, Header: h, Length: -1, Body: io.NopCloser(body)}, nil
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

type hungReader struct{ ctx context.Context }

func (h hungReader) Read([]byte) (int, error) {
	<-h.ctx.Done()

	return 0, h.ctx.Err()
}

// drippingReader is a stream of comments, a byte or a few at a time.
type drippingReader struct{ ctx context.Context }

func (d drippingReader) Read(p []byte) (int, error) {
	select {
	case <-time.After(5 * time.Millisecond):
		return copy(p, ": wait\n\n"), nil
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	}
}

// slowReader returns one event at a time, each after a pause, until the attempt is canceled.
type slowReader struct {
	ctx    context.Context
	events []string
	pause  time.Duration
	first  time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.events) == 0 {
		return 0, io.EOF
	}
	pause := s.pause
	if s.first > 0 {
		pause, s.first = s.first, 0
	}
	select {
	case <-time.After(pause):
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
	n := copy(p, s.events[0])
	s.events = s.events[1:]

	return n, nil
}

func (f *fake) RandomPoint() float64 { return 0 }

func (f *fake) Free(service string, excluded map[string]bool, at time.Time) (backend.Server, func(), bool) {
	if !f.free {
		return backend.Server{}, nil, false
	}

	return f.Online(service, excluded, 1, at)
}

func (f *fake) Probe(string, map[string]bool, time.Time) (backend.Server, func(), bool) {
	f.probes++

	return backend.Server{}, nil, false
}

func (f *fake) Online(_ string, excluded map[string]bool, loadLimit float64, _ time.Time) (backend.Server, func(), bool) {
	f.loadLimits = append(f.loadLimits, loadLimit)
	for _, id := range []string{"a", "b", "c"} {
		if !excluded[id] {
			reservedAt := time.Now()

			return backend.Server{ID: id}, func() { f.release(reservedAt) }, true
		}
	}

	return backend.Server{}, nil, false
}

func (f *fake) FreeOn(_, id string, at time.Time) (backend.Server, func(), bool) {
	others := map[string]bool{"a": true, "b": true, "c": true}
	delete(others, id)

	return f.Free("", others, at)
}

func (f *fake) release(reservedAt time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.released++
	f.spans = append(f.spans, span{from: reservedAt, to: time.Now()})
}

func (f *fake) Excess(backend.Server, time.Time) int          { return 0 }
func (f *fake) Oversubscribed(backend.Server, time.Time) bool { return f.oversubscribed }
func (f *fake) Preempt(string, int)                           {}
func (f *fake) RecordProgress(string, time.Time)              {}

func (f *fake) RecordAttempt(s backend.Server, err error, _, _ time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if err != nil {
		f.failed = append(f.failed, s.ID)
	}
}

type recorder struct {
	status int
	stamp  string
	body   bytes.Buffer
	fail   bool
	// pause is how long each write takes.
	pause time.Duration
}

func (r *recorder) Begin(status int, h http.Header, _ int64) error {
	r.status, r.stamp = status, h.Get("Stamp")

	return nil
}

func (r *recorder) Write(p []byte) error {
	if r.fail {
		return io.ErrClosedPipe
	}
	time.Sleep(r.pause)
	r.body.Write(p)

	return nil
}

const whole = "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n"

var (
	refused = fault.New(fault.CodeOverloaded, "full")
	lost    = fault.New(fault.CodeOutcomeUnknown, "reset")
)

// Guards against requests that run twice or are given up too early, error codes that promise falsely that a request has not
// run, and responses that are mixed from two attempts.
func TestRun(t *testing.T) {
	idempotent := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2}
	once := route.Route{Kind: route.KindOnce, MaxAttempts: 3}
	stream := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40}
	fixed := route.Route{Kind: route.KindStream, MaxAttempts: 2}
	for _, c := range []struct {
		name    string
		route   route.Route
		replies []reply
		code    fault.Code
		body    string
		stamp   string
		sends   int
	}{
		{"whole response", once, []reply{{status: 200, body: "ok"}}, "", "ok", "a", 1},
		{"refusal is tried elsewhere", once, []reply{{err: refused}, {status: 200, body: "ok"}}, "", "ok", "b", 2},
		{"unknown outcome is not repeated", once, []reply{{err: lost}}, fault.CodeOutcomeUnknown, "", "", 1},
		{"idempotent is repeated", idempotent, []reply{{err: lost}, {status: 200, body: "ok"}}, "", "ok", "b", 2},
		{"attempts are bounded", idempotent, []reply{{err: lost}, {err: lost}}, fault.CodeOutcomeUnknown, "", "", 2},
		{"cut response is not passed on", idempotent, []reply{{status: 200, body: "o", broken: true}, {status: 200, body: "ok"}}, "", "ok", "b", 2},
		{"failure is repeated if it may", idempotent, []reply{{status: 500, body: "no"}, {status: 200, body: "ok"}}, "", "ok", "b", 2},
		{"last failure is passed on", idempotent, []reply{{status: 500, body: "no"}, {status: 500, body: "no"}}, "", "no", "b", 2},
		{"failure of a request at most once", once, []reply{{status: 500, body: "no"}}, "", "no", "a", 1},
		{"unproven refusal of an idempotent request is passed on", idempotent, []reply{{status: 503, body: "no"}, {status: 429, body: "no"}}, "", "no", "b", 2},
		{"unproven refusal of a stream that may be resumed is passed on", stream, []reply{{status: 503, body: "no"}, {status: 503, body: "no"}}, "", "no", "b", 2},
		{"all refuse", once, []reply{{err: refused}, {err: refused}, {err: refused}}, fault.CodeOverloaded, "", "", 3},
		{"refusal after an unknown outcome promises nothing", idempotent, []reply{{err: lost}, {err: refused}, {err: refused}}, fault.CodeOutcomeUnknown, "", "", 3},
		{"whole stream", fixed, []reply{{status: 200, body: whole}}, "", whole, "a", 1},
		{"stream is resumed", stream, []reply{{status: 200, body: whole[:20], broken: true}, {status: 200, body: whole[15:]}}, "", whole, "a", 2},
		{"silent stream is moved", stream, []reply{{status: 200, body: whole[:20], hung: true}, {status: 200, body: whole[15:]}}, "", whole, "a", 2},
		{"stream before its first event", stream, []reply{{status: 200, body: "id:", broken: true}, {status: 200, body: whole}}, "", whole, "b", 2},
		{"stream that may not be resumed", fixed, []reply{{status: 200, body: whole[:20], broken: true}}, fault.CodeOutcomeUnknown, whole[:15], "a", 1},
		{"stream that goes on wrongly", stream, []reply{{status: 200, body: whole[:20], broken: true}, {status: 200, body: whole}}, fault.CodeStreamLost, whole[:15], "a", 2},
		{"half an event at the end", stream, []reply{{status: 200, body: whole[:20]}, {status: 200, body: whole[15:]}}, "", whole, "a", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{replies: c.replies, free: true}
			out := &recorder{}
			err := newForwarder(f).Run(t.Context(), &c.route, &call.Call{ID: "1"}, out)
			is.Equal(fault.CodeOf(err), c.code)
			is.Equal(out.body.String(), c.body)
			is.Equal(out.stamp, c.stamp)
			is.Equal(len(f.servers), c.sends)
			is.True(f.released >= c.sends) // every reservation is released
		})
	}
}

// Guards against a status that promises the caller of a request that may run once that it has not run, so that the caller sends it again, though
// its server does not say so and may have run it.
func TestStatusPromisesNothingUnproven(t *testing.T) {
	routes := map[string]route.Route{
		"once":                          {Kind: route.KindOnce, MaxAttempts: 3},
		"stream that cannot be resumed": {Kind: route.KindStream, MaxAttempts: 2},
	}
	for name, r := range routes {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			for _, before := range [][]reply{nil, {{err: refused}}, {{err: refused}, {err: refused}}} {
				t.Run(fmt.Sprint(name, ", ", status, " after ", len(before), " refusals"), func(t *testing.T) {
					is := is.New(t)
					f := &fake{replies: append(slices.Clone(before), reply{status: status, body: "no"}), free: true}
					out := &recorder{}
					err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
					is.True(err != nil)
					is.True(!fault.NotRun(err))
					is.Equal(out.status, 0) // nothing of the response is passed on, its stamp least of all
					is.Equal(len(f.servers), len(before)+1)
				})
			}
		}
	}
}

// Guards against the error of a second server, or a whole response of it, in the middle of the stream that the first one began, and
// against a stream that ends there as if it were complete.
func TestStreamGoesOnWithAnError(t *testing.T) {
	stream := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40}
	const head = "HTTP/1.1 503 Full\r\nContent-Type: text/plain\r\n\r\nfull"
	begun := reply{status: 200, body: whole[:20], broken: true}
	for _, c := range []struct {
		name          string
		first, second reply
		code          fault.Code
		body          string
	}{
		{"status 500", begun, reply{status: 500, body: "id: 2\ndata: no\n\n"}, fault.CodeBackendFailed, whole[:15]},
		{"status 206", begun, reply{status: 206, body: whole[15:]}, fault.CodeBackendFailed, whole[:15]},
		{"no event stream", begun, reply{status: 200, body: "no\n\n"}, fault.CodeBackendFailed, whole[:15]},
		{"error event", begun, reply{status: 200, body: "event: error\ndata: no\n\n", stream: true}, fault.CodeStreamLost, whole[:15]},
		{"error event after an event", begun, reply{status: 200, body: whole[15:30] + "event: error\ndata: no\n\n"}, fault.CodeStreamLost, whole[:30]},
		{"response in the stream", begun, reply{status: 200, body: whole[15:30] + head}, fault.CodeStreamLost, whole[:30]},
		{"response as the stream", begun, reply{status: 200, body: head, stream: true}, fault.CodeStreamLost, whole[:15]},
		{"text in the stream", begun, reply{status: 200, body: whole[15:30] + "no"}, fault.CodeOutcomeUnknown, whole[:30]},
		{"ids that do not follow", begun, reply{status: 200, body: whole[30:]}, fault.CodeStreamLost, whole[:15]},
		{"ids that begin again", begun, reply{status: 200, body: whole}, fault.CodeStreamLost, whole[:15]},
		{"gap at the first server", reply{status: 200, body: whole[:15] + whole[30:]}, reply{status: 200, body: whole[15:]}, "", whole},
		{"error event at the first server", reply{status: 200, body: whole[:15] + "event: error\ndata: no\n\n"}, reply{status: 200, body: whole[15:]}, "", whole},
		{"begun without an id", reply{status: 200, body: "data: x\n\n", stream: true, broken: true}, reply{status: 200, body: whole}, fault.CodeOutcomeUnknown, "data: x\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{replies: []reply{c.first, c.second, c.second}, free: true}
			out := &recorder{}
			err := newForwarder(f).Run(t.Context(), &stream, &call.Call{ID: "1"}, out)
			is.Equal(out.body.String(), c.body)
			is.Equal(fault.CodeOf(err), c.code)
			is.Equal(out.stamp, "a")
		})
	}
}

// Guards against servers that are suspected at the peak of a burst because requests queue there. On the days with the heaviest
// load this moved the load to the other servers, with 200 suspicions in one second among 96 servers. A server that is silent
// although it has free slots, or that cannot be reached, has to be suspected nevertheless.
func TestQueueIsNotSilence(t *testing.T) {
	stream := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40}
	gone := fault.New(fault.CodeBackendUnreachable, "no connection")
	for _, c := range []struct {
		name           string
		oversubscribed bool
		first          reply
		suspected      []string
	}{
		{"queued", true, reply{status: 200, body: whole[:20], hung: true}, nil},
		{"silent", false, reply{status: 200, body: whole[:20], hung: true}, []string{"a"}},
		{"unreachable", true, reply{err: gone}, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{replies: []reply{c.first, {status: 200, body: whole[15:]}}, free: true, oversubscribed: c.oversubscribed}
			if c.first.err != nil {
				f.replies[1].body = whole
			}
			out := &recorder{}
			is.NoErr(newForwarder(f).Run(t.Context(), &stream, &call.Call{ID: "1"}, out))
			is.Equal(out.body.String(), whole)
			is.Equal(f.failed, c.suspected)
		})
	}
}

// Guards against a request that is held beyond the time-out of its route or the deadline of its caller.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	f := &fake{replies: []reply{{status: 200, body: "id: 1\ndata: x\n\n", hung: true}}}
	r := route.Route{Kind: route.KindStream, TimeoutMillis: 30}
	out := &recorder{}
	err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
	is.Equal(fault.CodeOf(err), fault.CodeDeadlinePassed)
	is.Equal(len(f.failed), 0) // the server is not suspected
}

// Guards against a stream that goes on at a backend server after its caller has left, and against a retry for such a caller.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	f := &fake{replies: []reply{{status: 200, body: whole}}, free: true}
	r := route.Route{Kind: route.KindStream, Resumable: true, MaxAttempts: 2}
	err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, &recorder{fail: true})
	is.Equal(fault.CodeOf(err), fault.CodeCancelled)
	is.Equal(len(f.servers), 1)
	is.Equal(len(f.failed), 0)
}

// Guards against a response that ends because its caller has left, and that is counted as one that its backend server broke off.
func TestCutOfCallerThatLeft(t *testing.T) {
	is := is.New(t)
	f := &fake{replies: []reply{{status: 200, body: whole[:20], hung: true}}}
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, leave)
	r := route.Route{Kind: route.KindStream}
	cuts.Set(string(fault.CodeCancelled), new(expvar.Int))
	is.True(newForwarder(f).Run(ctx, &r, &call.Call{ID: "1"}, &recorder{}) != nil)
	is.Equal(cuts.Get(string(fault.CodeCancelled)).String(), "1")
}

// Guards against a stalled stream that sends a few bytes without data now and then and never ends, and against a slow but sound
// stream that is cut: progress is an event with data, however slow the stream as a whole.
func TestProgressIsAnEvent(t *testing.T) {
	r := route.Route{Kind: route.KindStream, Resumable: true, MaxAttempts: 2, GapMillis: 120, TargetMillis: 120, TimeoutMillis: 20_000}
	for _, c := range []struct {
		name    string
		first   reply
		servers int
	}{
		{"stalled, sends comments", reply{status: 200, body: whole[:15], dripping: true}, 2},
		{"slow and sound", reply{status: 200, body: whole, slow: 40 * time.Millisecond}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fake{replies: []reply{c.first, {status: 200, body: whole[15:]}}, free: true}
				out := &recorder{}
				is.NoErr(newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out))
				is.Equal(strings.ReplaceAll(out.body.String(), ": wait\n\n", ""), whole)
				is.Equal(len(f.servers), c.servers)
			})
		})
	}
}

// Guards against a silent stream that is canceled although no other backend server has a free slot.
func TestSilentStreamWaitsWithoutFreeSlot(t *testing.T) {
	is := is.New(t)
	f := &fake{replies: []reply{{status: 200, body: "id: 1\ndata: x\n\n", hung: true}}}
	r := route.Route{Kind: route.KindStream, Resumable: true, MaxAttempts: 2, GapMillis: 10, TargetMillis: 10, TimeoutMillis: 200}
	err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, &recorder{})
	is.Equal(fault.CodeOf(err), fault.CodeDeadlinePassed)
	is.Equal(len(f.servers), 1)
}

// Guards against a burst that makes every request late: a request that can still be on time joins only short queues. One that
// was refused for that reason and is sent again may join longer queues.
func TestQueue(t *testing.T) {
	for _, c := range []struct {
		name string
		left time.Duration
		want float64
	}{
		{"first attempt", 5 * time.Second, onTimeLoadLimit},
		{"second attempt", 4 * time.Second, lateLoadLimit},
		{"no deadline", 0, lateLoadLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{replies: []reply{{status: 200, body: "ok"}}}
			r := route.Route{Kind: route.KindIdempotent, TimeoutMillis: 5000, TargetMillis: 300}
			q := &call.Call{ID: "1"}
			if c.left > 0 {
				q.Deadline = time.Now().Add(c.left)
			}
			is.New(t).NoErr(newForwarder(f).Run(t.Context(), &r, q, &recorder{}))
			is.New(t).Equal(f.loadLimits, []float64{c.want})
		})
	}
}
