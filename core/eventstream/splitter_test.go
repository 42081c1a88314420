package eventstream

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

func collect(s *Splitter) (whole []byte, err error) {
	for {
		event, err := s.Next()
		if err != nil || event == nil {
			return whole, err
		}
		whole = append(whole, event...)
	}
}

// Guards against events that are joined, split or returned before they are complete, for any size of the reads.
func TestSplitter(t *testing.T) {
	stream := []byte("id: 1\ndata: a\n\nx-version: 3\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n")
	for size := 1; size <= len(stream); size++ {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			s := New(0)
			var got []byte
			for rest := stream; len(rest) > 0; rest = rest[min(size, len(rest)):] {
				s.Feed(rest[:min(size, len(rest))])
				whole, err := collect(s)
				is.NoErr(err)
				got = append(got, whole...)
			}
			is.Equal(string(got), string(stream))
			is.Equal(s.LastID(), int64(3))
			is.Equal(s.Pending(), 0)
		})
	}
}

// Guards against a long event whose buffer is larger than what is counted for it, or is kept for the rest of the stream, and that is searched
// again from its beginning with each read.
func TestLongEvent(t *testing.T) {
	is := is.New(t)
	s := New(0)
	piece := bytes.Repeat([]byte("x"), 4<<10)
	s.Feed([]byte("id: 1\ndata: "))
	for s.Pending() < maxEventBytes-len(piece) {
		s.Feed(piece)
		event, err := s.Next()
		is.NoErr(err)
		is.True(event == nil)
		is.True(s.Held() >= s.Pending())
		is.Equal(s.scanned, s.Pending())
	}
	s.Feed([]byte("\r\n\r"))
	event, err := s.Next()
	is.NoErr(err)
	is.True(event == nil)
	s.Feed([]byte("\nid: 2\ndata: a\n\n"))
	whole, err := collect(s)
	is.NoErr(err)
	is.True(bytes.HasSuffix(whole, []byte("x\r\n\r\nid: 2\ndata: a\n\n")))
	s.Feed([]byte("id: 3\n"))
	is.True(s.Held() <= keptBytes)
	s.Feed([]byte("\n"))
	whole, err = collect(s)
	is.NoErr(err)
	is.Equal(string(whole), "id: 3\n\n")
	s.Release()
	is.Equal(s.Held(), 0)
}

// Guards against a gap, a repetition or the events of another run in a continued stream.
func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		last   int64
		stream string
		ok     bool
	}{
		{"first", 0, "id: 1\n\n", true},
		{"starts late", 0, "id: 2\n\n", false},
		{"continues", 7, "id: 8\n\nid: 9\n\n", true},
		{"starts again", 7, "id: 1\n\n", false},
		{"gap", 7, "id: 8\n\nid: 10\n\n", false},
		{"twice", 7, "id: 8\n\nid: 8\n\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(c.last)
			s.Feed([]byte(c.stream))
			_, err := collect(s)
			is.New(t).Equal(err == nil, c.ok)
			if err != nil {
				is.New(t).Equal(fault.CodeOf(err), fault.CodeStreamLost)
			}
		})
	}
}

// Guards against an error, or a whole second response, that passes for the next event of a stream.
func TestEventWithoutID(t *testing.T) {
	for _, c := range []struct {
		name, stream string
		last         int64
		ok           bool
		resumable    bool
	}{
		{"error", "event: error\ndata: no\n\n", 7, false, true},
		{"head of a response", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", 7, false, true},
		{"text", "no\n\n", 7, false, true},
		{"unreadable id", "id: x\ndata: no\n\n", 7, false, true},
		{"after an event", "id: 1\n\ndata: no\n\n", 0, false, true},
		{"comment", ": wait\n\n:\r\n\r\n\n\nid: 8\n\n", 7, true, true},
		{"comment first", ": wait\n\n", 0, true, true},
		{"stream without ids", "data: a\n\ndata: b\n\n", 0, true, false},
		{"ids after an event without one", "data: a\n\nid: 1\n\n", 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(c.last)
			s.Feed([]byte(c.stream))
			_, err := collect(s)
			is.Equal(err == nil, c.ok)
			is.Equal(s.Resumable(), c.resumable)
			if err != nil {
				is.Equal(fault.CodeOf(err), fault.CodeStreamLost)
			}
		})
	}
}

// Guards against part of an event that is joined with the first event of the next attempt.
func TestRestart(t *testing.T) {
	is := is.New(t)
	s := New(0)
	s.Feed([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	_, err := collect(s)
	is.NoErr(err)
	is.Equal(s.Pending(), 8)
	s.DropPartial()
	s.Feed([]byte("id: 2\ndata: b\n\n"))
	whole, err := collect(s)
	is.NoErr(err)
	is.Equal(string(whole), "id: 2\ndata: b\n\n")
}

// Guards against data that is decoded wrongly if it has several lines, or no space after the colon.
func TestData(t *testing.T) {
	for _, c := range []struct {
		event, want string
		ok          bool
	}{
		{"id: 1\ndata: a\n\n", "a", true},
		{"data:a\ndata: b\n\n", "a\nb", true},
		{"data:  a\r\n\r\n", " a", true},
		{"id: 1\n\n", "", false},
	} {
		data, ok := Data([]byte(c.event))
		is.New(t).Equal(string(data), c.want)
		is.New(t).Equal(ok, c.ok)
	}
}

// Guards against bytes of a backend server that crash the splitter, or that it changes.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), 3)
	f.Add([]byte("\n\n\r\n\r\nid:\n\n"), 1)
	// As backend servers of similar systems have sent: comments without events, an event without end, one that is broken off, the
	// events once more, and a failure or its head behind an event.
	f.Add(bytes.Repeat([]byte(": wait\n\n"), 50), 8)
	f.Add(append([]byte("data: "), bytes.Repeat([]byte("x"), 4<<10)...), 63)
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: "), 7)
	f.Add([]byte("id: 1\ndata: a\n\nid: 1\ndata: a\n\n"), 5)
	f.Add([]byte("id: 1\ndata: a\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"), 9)
	f.Add([]byte("id: 2\ndata: b\n\nid: 3\ndata: internal error\n"), 4)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		size = max(1, size%64)
		s := New(0)
		var got []byte
		for rest := stream; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			s.Feed(rest[:min(size, len(rest))])
			whole, err := collect(s)
			got = append(got, whole...)
			if err != nil {
				return
			}
		}
		if !bytes.HasPrefix(stream, got) || len(got)+s.Pending() != len(stream) {
			t.Fatalf("%q became %q with %d bytes pending", stream, got, s.Pending())
		}
	})
}
