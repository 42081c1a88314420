package eventstream

import (
	"bytes"
	"strconv"

	"tarragonwalk/core/bufferpool"
	"tarragonwalk/core/fault"
)

// maxEventBytes is the size limit of one event, so that a stream without blank lines cannot fill the memory.
const maxEventBytes = 1 << 20

// keptBytes is the size of the buffer that is kept for further events.
const keptBytes = 64 << 10

var buffers bufferpool.Pool

// Splitter splits a stream into events and checks that their ids increase by one. It is not safe for concurrent use.
type Splitter struct {
	buffer []byte
	start  int
	// scanned is the position before which no blank line begins after start.
	scanned int
	last    int64
	// unnumbered is set after an event without an id that is more than a comment.
	unnumbered bool
}

// New returns a splitter for a stream that continues after the event with id last, which is 0 for a new stream.
func New(last int64) *Splitter {
	return &Splitter{
		last: last,
	}
}

// LastID returns the id of the last whole event.
func (s *Splitter) LastID() int64 {
	return s.last
}

// DropPartial drops an incomplete event, for a stream that continues on another connection.
func (s *Splitter) DropPartial() {
	s.buffer = s.buffer[:0]
	s.start, s.scanned = 0, 0
}

// Feed appends bytes read from the stream.
func (s *Splitter) Feed(p []byte) {
	rest := s.buffer[s.start:]
	needed := len(rest) + len(p)
	if needed > cap(s.buffer) || cap(s.buffer) > keptBytes && needed < keptBytes/2 {
		buffer := append(buffers.Get(needed), rest...)
		buffers.Put(s.buffer)
		s.buffer = buffer
	} else if s.start > 0 {
		s.buffer = append(s.buffer[:0], rest...)
	}
	s.buffer = append(s.buffer, p...)
	s.scanned = max(0, s.scanned-s.start)
	s.start = 0
}

// Release gives the memory of the splitter back, which must not be used afterwards, nor must its events.
func (s *Splitter) Release() {
	buffers.Put(s.buffer)
	s.buffer, s.start, s.scanned = nil, 0, 0
}

// Resumable reports whether another stream can continue this one, which no id tells after events without one.
func (s *Splitter) Resumable() bool {
	return s.last != 0 || !s.unnumbered
}

// Pending returns the number of bytes that Next has not returned yet.
func (s *Splitter) Pending() int {
	return len(s.buffer) - s.start
}

// Held returns the number of bytes that the splitter takes in memory, which may be more than are pending.
func (s *Splitter) Held() int {
	return cap(s.buffer)
}

// Next returns the next whole event with its closing blank line, or nil if there is none. The slice is valid until the
// next Feed. An event that is out of order or too long is an error with code stream_lost, and so is one without an id after one
// with an id: it is the error or the head of another response. Only comments need none.
func (s *Splitter) Next() ([]byte, error) {
	begin := max(s.start, s.scanned-len("\r\n\r"))
	end := blankLine(s.buffer[begin:])
	if end < 0 {
		s.scanned = len(s.buffer)
		if s.Pending() > maxEventBytes {
			return nil, fault.New(fault.CodeStreamLost, "the backend server sent an event that is too long")
		}

		return nil, nil
	}
	event := s.buffer[s.start : begin+end]
	s.start = begin + end
	s.scanned = s.start
	id, ok := ID(event)
	switch {
	case !ok && comment(event):
		return event, nil
	case !ok && s.last != 0:
		return nil, fault.New(fault.CodeStreamLost, "the backend server sent something without an id after event "+strconv.FormatInt(s.last, 10))
	case !ok:
		s.unnumbered = true

		return event, nil
	}
	if s.last != 0 && id != s.last+1 || s.last == 0 && id > 1 {
		return nil, fault.New(fault.CodeStreamLost, "the backend server sent event "+strconv.FormatInt(id, 10)+
			" after event "+strconv.FormatInt(s.last, 10))
	}
	s.last = id

	return event, nil
}

// comment reports whether an event consists of comments and blank lines only.
func comment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}

	return true
}

// blankLine returns the position after the first blank line, -1 if there is none.
func blankLine(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	default:
		return -1
	}
}

// ID returns the id of an event.
func ID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)

			return n, err == nil
		}
	}

	return 0, false
}

// Data returns the data of an event, its lines joined by line feeds; false if it has none.
func Data(event []byte) ([]byte, bool) {
	var data []byte
	found := false
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(bytes.TrimRight(value, "\r\n"), []byte(" "))
		if found {
			data = append(data, '\n')
		}
		data = append(data, value...)
		found = true
	}

	return data, found
}
