package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/io/openai"
	standin "tarragonwalk/io/standin/engine"
)

func start(t *testing.T, options ...func(*standin.Engine)) (*standin.Engine, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := standin.New(options...)
	go func() { _ = e.Serve(l) }()
	t.Cleanup(e.Close)

	return e, netip.MustParseAddrPort(l.Addr().String())
}

func request(t *testing.T, content string, tokens int) (*inference.Request, *openai.ChatRequest) {
	t.Helper()
	q := &openai.ChatRequest{
		Model:     "dalga",
		MaxTokens: tokens,
		Messages:  []openai.Message{{Role: "user", Content: content}},
	}
	b, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}

	return &inference.Request{
		Stream: "s1",
		Body:   b,
	}, q
}

// Guards against an answer with changed, lost or repeated tokens after it is resumed on another engine.
func TestResumeElsewhere(t *testing.T) {
	is := is.New(t)
	e, a := start(t)
	_, b := start(t)
	e.Duplicate(3)
	c := New(time.Second, time.Second)
	defer c.Close()
	r, q := request(t, "hello", 40)
	want, tokens, finish := standin.Answer(q)
	stop := errors.New("stop")
	text := ""
	err := c.Stream(context.Background(), a, r, func(v inference.Event) error {
		text += v.Text
		r.Offset, r.Generated = v.Offset, text
		if v.Offset == 7 {
			return stop
		}

		return nil
	})
	is.Equal(err, stop)
	for range 2 { // The second run resumes a complete answer and yields only its finish reason.
		end := ""
		is.NoErr(c.Stream(context.Background(), b, r, func(v inference.Event) error {
			text += v.Text
			end = v.Finish
			r.Offset, r.Generated = v.Offset, text

			return nil
		}))
		is.Equal(end, finish)
		is.Equal(text, want)
		is.Equal(r.Offset, tokens)
	}
	deadline := time.Now().Add(5 * time.Second)
	for e.Canceled() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(e.Canceled(), 1) // The abandoned stream ends on the first engine.
}

// Guards against a wrong fault code, above all one that permits a retry of a request that may have run.
func TestStreamFailures(t *testing.T) {
	cases := []struct {
		name    string
		content string
		before  func(*standin.Engine) // runs before the request
		middle  func(*standin.Engine) // runs at the third token
		code    fault.Code
	}{
		{name: "refused", before: func(e *standin.Engine) { _ = e.Refuse(true) }, code: fault.CodeBackendUnreachable},
		{name: "leaving", before: func(e *standin.Engine) { e.Leave(true) }, code: fault.CodeBackendLeaving},
		{name: "failed", before: func(e *standin.Engine) { e.Fail(1) }, code: fault.CodeBackendFailed},
		{name: "marker", content: "x BROKEN y", code: fault.CodeInvalid},
		{name: "frozen", before: func(e *standin.Engine) { e.Freeze(true) }, code: fault.CodeBackendSilent},
		{name: "frozen later", middle: func(e *standin.Engine) { e.Freeze(true) }, code: fault.CodeBackendSilent},
		{name: "silent", middle: func(e *standin.Engine) { e.Silence() }, code: fault.CodeBackendSilent},
		{name: "dropped", middle: func(e *standin.Engine) { e.Drop() }, code: fault.CodeStreamLost},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			e, a := start(t, standin.FailMarker("BROKEN"))
			c := New(300*time.Millisecond, 300*time.Millisecond)
			defer c.Close()
			_, err := c.Load(context.Background(), a) // Leaves a connection in the pool.
			is.NoErr(err)
			c.Close()
			c = New(300*time.Millisecond, 300*time.Millisecond)
			if k.before != nil {
				k.before(e)
			}
			r, _ := request(t, k.content, 400)
			err = c.Stream(context.Background(), a, r, func(v inference.Event) error {
				if v.Offset == 3 && k.middle != nil {
					k.middle(e)
				}

				return nil
			})
			is.Equal(fault.CodeOf(err), k.code)
		})
	}
}

// Guards against a canceled stream that still occupies its slot in the engine's batch.
func TestCancel(t *testing.T) {
	is := is.New(t)
	e, a := start(t)
	c := New(time.Second, time.Second)
	defer c.Close()
	r, _ := request(t, "long", 4000)
	ctx, cancel := context.WithCancel(context.Background())
	err := c.Stream(ctx, a, r, func(v inference.Event) error {
		if v.Offset == 2 {
			cancel()
		}

		return nil
	})
	is.Equal(fault.CodeOf(err), fault.CodeCancelled)
	err = c.Stream(context.Background(), a, r, func(v inference.Event) error {
		if v.Offset == 2 {
			return c.Cancel(context.Background(), a, r.Stream)
		}

		return nil
	})
	is.Equal(fault.CodeOf(err), fault.CodeStreamLost)
	is.NoErr(c.Cancel(context.Background(), a, "unknown"))
	deadline := time.Now().Add(5 * time.Second)
	for e.Canceled() < 2 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(e.Canceled(), 2)
	is.Equal(e.Started()["s1"], 2)
}

// Guards against an order that takes effect after one from a later lease holder, or takes effect twice.
func TestOrderFencing(t *testing.T) {
	is := is.New(t)
	e, a := start(t, standin.Fencing(true))
	c := New(time.Second, time.Second)
	defer c.Close()
	order := func(id string, token int) error {
		return c.Order(context.Background(), a, inference.Order{
			ID:           id,
			Kind:         inference.OrderKindLoad,
			FencingToken: token,
		})
	}
	is.NoErr(order("a", 2))
	is.NoErr(order("a", 2))
	is.Equal(fault.CodeOf(order("b", 1)), fault.CodeFenced)
	is.NoErr(order("c", 3))
	is.Equal(len(e.Orders()), 2)
}
