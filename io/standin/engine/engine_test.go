package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/io/openai"
)

func serve(t *testing.T, options ...func(*Engine)) (*Engine, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := New(options...)
	go func() { _ = e.Serve(l) }()
	t.Cleanup(e.Close)

	return e, "http://" + l.Addr().String()
}

func complete(t *testing.T, url string, r *openai.ChatRequest) (int, string) {
	t.Helper()
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	p, err := http.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(b))
	if err != nil {
		t.Error(err)

		return 0, ""
	}
	defer p.Body.Close()
	b, _ = io.ReadAll(p.Body)
	var c openai.ChatCompletion
	if json.Unmarshal(b, &c) != nil || len(c.Choices) != 1 {
		return p.StatusCode, ""
	}

	return p.StatusCode, c.Choices[0].Message.Content
}

func prompt(content string) *openai.ChatRequest {
	return &openai.ChatRequest{
		Model:     "m",
		MaxTokens: 20,
		Messages:  []openai.Message{{Role: "user", Content: content}},
	}
}

// Guards against a stand-in that hides overload by exceeding its batch size, and against swapped answers.
func TestBatchLimit(t *testing.T) {
	is := is.New(t)
	e, url := serve(t, Steps(time.Millisecond, 0, 3))
	var w sync.WaitGroup
	for i := range 8 {
		w.Go(func() {
			r := prompt(strings.Repeat("x", i))
			want, _, _ := Answer(r)
			status, text := complete(t, url, r)
			if status != http.StatusOK || text != want {
				t.Errorf("request %d: status %d, text %q", i, status, text)
			}
		})
	}
	w.Wait()
	is.Equal(e.LargestBatch(), 3)
	is.Equal(e.Canceled(), 0)
	running, waiting := e.Running()
	is.Equal(running+waiting, 0)
}

// Guards against a leaving engine that interrupts running streams or accepts new ones.
func TestLeave(t *testing.T) {
	is := is.New(t)
	e, url := serve(t, Steps(5*time.Millisecond, 0, 3))
	var w sync.WaitGroup
	status := 0
	w.Go(func() { status, _ = complete(t, url, prompt("a")) })
	for deadline := time.Now().Add(5 * time.Second); e.Tokens() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	e.Leave(true)
	refused, _ := complete(t, url, prompt("b"))
	w.Wait()
	is.Equal(refused, http.StatusServiceUnavailable)
	is.Equal(status, http.StatusOK)
}

// Guards against a prefix cache that exceeds its capacity, reports an evicted prefix as cached, or ignores the lag and
// the gap of its events.
func TestCache(t *testing.T) {
	is := is.New(t)
	c := newCache(2)
	now := time.Now()
	a, size := promptBlocks(prompt(strings.Repeat("a", 600)))
	b, _ := promptBlocks(prompt(strings.Repeat("b", 600)))
	is.Equal(len(a), 2)
	is.Equal(size, 604)
	is.Equal(c.covered(a), 0)
	c.store(a, now)
	is.Equal(c.covered(a), 2*blockBytes)
	c.store(b[:1], now)
	is.Equal(c.covered(a), blockBytes) // The end of the prefix is evicted first.
	is.Equal(len(c.since(0, now, 0).Events), 4)
	is.Equal(len(c.since(0, now, 2).Events), 2)
	is.Equal(len(c.since(0, now.Add(-time.Second), 0).Events), 0)
}

// Guards against a load report that is more recent than the configured lag allows.
func TestLoadLag(t *testing.T) {
	is := is.New(t)
	e, _ := serve(t, LoadLag(time.Minute))
	e.Freeze(true)
	e.add(&stream{
		answer: answer{
			tokens: 1,
		},
		updated: make(chan struct{}, 1),
	})
	is.Equal(e.load().waiting+e.load().running, 0)
	e.lock.Lock()
	e.loadLag = 0
	e.lock.Unlock()
	s := e.load()
	is.Equal(s.waiting+s.running, 1)
}
