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
	// maxBufferBytes bounds the buffered lines, in bytes.
	maxBufferBytes = 1 << 20
	// maxDebugBytes bounds the part of the buffer that debug lines may fill, in bytes, so that lines on refusals, failures and
	// suspected servers are not dropped when the output is slow.
	maxDebugBytes = maxBufferBytes / 2
	// prefixBytes is the length of the start of a line that holds its time and level.
	prefixBytes = 96
	// flushInterval is how long lines are collected for one write.
	flushInterval = 50 * time.Millisecond
)

// debugMark occurs in the lines that slog.NewJSONHandler writes at level debug.
var debugMark = []byte(`"level":"DEBUG"`)

var dropped = expvar.NewInt("LogLinesDropped")

// Writer buffers lines, writes them to an output in the background and drops those that do not fit its buffer. It is safe for
// concurrent use.
type Writer struct {
	output io.Writer
	// lock guards all fields below.
	lock   sync.Mutex
	buffer bytes.Buffer
	lost   int64
	timer  *time.Timer
	// writeLock is held while buffered lines are written, so that they keep their order.
	writeLock sync.Mutex
}

// New returns a writer to the given output.
func New(output io.Writer) *Writer {
	return &Writer{
		output: output,
	}
}

// Write buffers or drops one line; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	limit := maxBufferBytes
	if bytes.Contains(line[:min(len(line), prefixBytes)], debugMark) {
		limit = maxDebugBytes
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

// Flush writes the buffered lines, and the number of lines dropped since the last flush.
func (w *Writer) Flush() {
	w.writeLock.Lock()
	defer w.writeLock.Unlock()
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
	_, _ = w.output.Write(out) //nolint:errcheck // A failure to write the log cannot be logged.
}
