package logline

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type blockedWriter struct {
	release chan struct{}
	lock    sync.Mutex
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.lock.Lock()
	defer b.lock.Unlock()

	return b.out.Write(p)
}

// Guards against a blocked output that blocks requests through their log lines, and against dropped lines that are not counted.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	b := &blockedWriter{release: make(chan struct{})}
	w := New(b)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * maxBufferBytes / len(line) {
			_, _ = w.Write(line)
			time.Sleep(time.Microsecond)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a write was blocked")
	}
	close(b.release)
	w.Flush()
	w.Flush()
	b.lock.Lock()
	defer b.lock.Unlock()
	is.True(strings.Contains(b.out.String(), `"msg":"log lines dropped"`))
	is.True(b.out.Len() >= maxBufferBytes-len(line))
}

// Guards against debug lines that fill the buffer while the output is slow, so that lines on refusals and failures are dropped.
func TestDebugLinesAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	b := &blockedWriter{release: make(chan struct{})}
	w := New(b)
	log := slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelDebug}))
	go w.Flush()
	time.Sleep(100 * time.Millisecond) // the flush is blocked
	const count = 3 * maxBufferBytes / 150
	for n := range count {
		log.Debug("request answered", "request", n, "filler", strings.Repeat("x", 50))
	}
	const important = 20
	for n := range important {
		log.Warn("backend server suspected", "server", n)
	}
	close(b.release)
	w.Flush()
	b.lock.Lock()
	defer b.lock.Unlock()
	is.Equal(strings.Count(b.out.String(), "backend server suspected"), important)
	is.True(strings.Contains(b.out.String(), "log lines dropped"))
}
