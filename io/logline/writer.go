package logline

import (
	"bytes"
	"expvar"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the lines that wait for a slow reader, in bytes.
	maxBuffered = 1 << 20
	// maxRoutine is the part of the buffer that routine lines may fill, so that refusals, failures and changes of belief are
	// kept when the reader is slow.
	maxRoutine = maxBuffered / 2
	// headBytes is the part of a line in which its time and level are.
	headBytes = 96
	// flushInterval collects lines into one write.
	flushInterval = 50 * time.Millisecond
)

// routineMark is in the lines that slog.NewJSONHandler writes at level debug.
var routineMark = []byte(`"level":"DEBUG"`)

var dropped = expvar.NewInt("LogLinesDropped")

// Writer hands lines to a slower writer in the background and drops what does not fit its buffer; it is safe for concurrent
// use.
type Writer struct {
	to io.Writer
	// lock guards all fields below.
	lock   sync.Mutex
	buffer bytes.Buffer
	lost   int64
	timer  *time.Timer
	// writing is held during a write, so that lines keep their order.
	writing sync.Mutex
}

// New returns a writer to a slower one.
func New(to io.Writer) *Writer {
	return &Writer{
		to: to,
	}
}

// Write buffers one line; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	limit := maxBuffered
	if bytes.Contains(line[:min(len(line), headBytes)], routineMark) {
		limit = maxRoutine
	}
	if w.buffer.Len()+len(line) > limit {
		w.lost++
		dropped.Add(1)

		return len(line), nil
	}
	w.buffer.Write(line)
	if w.timer == nil {
		w.timer = time.AfterFunc(flushInterval, w.Flush)
	}

	return len(line), nil
}

// Flush writes what is buffered, and the number of lines dropped since the last time.
func (w *Writer) Flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.lock.Lock()
	w.timer = nil
	out := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	if w.lost > 0 {
		out = append(out, `{"level":"WARN","msg":"log lines dropped","count":`...)
		out = strconv.AppendInt(out, w.lost, 10)
		out = append(out, "}\n"...)
		w.lost = 0
	}
	w.lock.Unlock()
	_, _ = w.to.Write(out) //nolint:errcheck // There is nowhere to report that the log cannot be written.
}
