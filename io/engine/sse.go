package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxLine bounds one line and the data of one event; a token with its surrounding JSON takes a few hundred bytes.
const maxLine = 256 << 10

var (
	errLineTooLong = errors.New("event stream: line too long")
	errEventID     = errors.New("event stream: id is not a token offset")
)

// message is one server-sent event.
type message struct {
	id   int // token offset, -1 without an id line
	data []byte
}

// sse reads server-sent events.
type sse struct {
	reader *bufio.Reader
	line   []byte
	data   []byte
}

func newSSE(r io.Reader) *sse {
	return &sse{
		reader: bufio.NewReader(r),
	}
}

// next returns the next event with data, or io.EOF. The data is valid until the following call. An event that is incomplete
// at the end of the stream is discarded.
func (s *sse) next() (message, error) {
	m := message{
		id: -1,
	}
	s.data = s.data[:0]
	found := false
	for {
		line, err := s.readLine()
		if err != nil {
			return message{}, err
		}
		if len(line) == 0 {
			if found {
				m.data = s.data

				return m, nil
			}
			m.id = -1

			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if m.id, err = strconv.Atoi(string(value)); err != nil || m.id < 0 {
				return message{}, errEventID
			}
		case "data":
			if found {
				s.data = append(s.data, '\n')
			}
			found = true
			if len(s.data)+len(value) > maxLine {
				return message{}, errLineTooLong
			}
			s.data = append(s.data, value...)
		}
	}
}

func (s *sse) readLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(s.line)+len(part) > maxLine {
			return nil, errLineTooLong
		}
		s.line = append(s.line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}

		return bytes.TrimSuffix(bytes.TrimSuffix(s.line, []byte("\n")), []byte("\r")), nil
	}
}
