package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against unbounded memory for a line, accepting an incomplete event, and misread framing.
func TestSSE(t *testing.T) {
	cases := []struct {
		name  string
		input string
		data  string
		id    int
		err   error
	}{
		{name: "event", input: "id: 3\ndata: x\n\n", data: "x", id: 3},
		{name: "carriage returns and a comment", input: ": c\r\nid:4\r\ndata:x\r\ndata: y\r\n\r\n", data: "x\ny", id: 4},
		{name: "cut short", input: "id: 3\ndata: x\n", err: io.EOF},
		{name: "bad id", input: "id: -3\ndata: x\n\n", err: errEventID},
		{name: "long line", input: "data: " + strings.Repeat("x", maxLine) + "\n\n", err: errLineTooLong},
		{name: "long event", input: strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300) + "\n", err: errLineTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, err := newSSE(strings.NewReader(c.input)).next()
			is.True(errors.Is(err, c.err))
			is.Equal(string(m.data), c.data)
			is.Equal(m.id, c.id)
		})
	}
}

// Guards against input that makes the reader panic, loop forever, or exceed its size limit.
func FuzzSSE(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data\r\n\r\nid\n"))
	// Comments without events, an event without end, one that is broken off, and a failure or its head behind an event.
	f.Add(bytes.Repeat([]byte(": wait\n\n"), 50))
	f.Add(append([]byte("data: "), bytes.Repeat([]byte("x"), 4<<10)...))
	f.Add([]byte("id: 1\ndata: {}\n\nid: 2\ndata: "))
	f.Add([]byte("id: 1\ndata: {}\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"))
	f.Add([]byte("id: 1\ndata: {}\n\nid: 3\ndata: internal error\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newSSE(bytes.NewReader(b))
		for n := 0; ; n++ {
			m, err := s.next()
			if err != nil {
				return
			}
			if n > len(b) || len(m.data) > maxLine || m.id < -1 {
				t.Fatal("event out of bounds")
			}
			if e, err := decode(m); err == nil && e.Offset != m.id {
				t.Fatal("wrong offset")
			}
		}
	})
}
