package job

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"tarragonwalk/core/fault"
)

// Splitter validates a JSONL batch input and splits it into chunks. It holds one chunk and a hash per custom_id in memory.
type Splitter struct {
	// ChunkItems bounds the items of a chunk.
	ChunkItems int
	// ChunkBytes bounds the bytes of a chunk; a longer line has a chunk of its own.
	ChunkBytes int
	// MaxItems bounds the items of the input.
	MaxItems int
	// LineBytes bounds one line without its line feed.
	LineBytes int

	model string
	seen  map[[sha256.Size]byte]struct{}
	chunk []byte
	info  ChunkInfo
	file  File
}

// Split reads r to its end, calls put with each chunk in order and returns the Bytes, Items, Model and Chunks of the file.
// The data that put gets is valid during the call only.
func (s *Splitter) Split(r io.Reader, put func(chunk int, data []byte) error) (File, error) {
	s.model = ""
	s.seen = make(map[[sha256.Size]byte]struct{})
	s.chunk = s.chunk[:0]
	s.info = ChunkInfo{}
	s.file = File{}
	b := bufio.NewReaderSize(r, 64<<10)
	for number := 1; ; number++ {
		line, err := s.readLine(b, number)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return File{}, err
		}
		if err := s.check(line, number); err != nil {
			return File{}, err
		}
		if err := s.add(line, put); err != nil {
			return File{}, err
		}
	}
	if s.file.Items == 0 {
		return File{}, fault.New(fault.CodeInvalid, "the file has no items")
	}
	if err := s.flush(put); err != nil {
		return File{}, err
	}
	s.file.Model = s.model

	return s.file, nil
}

// readLine returns the next line without its end, or io.EOF after the last one.
func (s *Splitter) readLine(b *bufio.Reader, number int) ([]byte, error) {
	var line []byte
	for {
		piece, err := b.ReadSlice('\n')
		line = append(line, piece...)
		if len(bytes.TrimRight(line, "\r\n")) > s.LineBytes {
			return nil, lineError(fault.CodeTooLarge, number, fmt.Sprintf("longer than %d bytes", s.LineBytes))
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			if len(line) == 0 {
				return nil, io.EOF
			}

			return line, nil
		default:
			return nil, fault.Wrap(err, fault.CodeInvalid, "cannot read the file")
		}
	}
}

// check rejects a line that is not a valid item or conflicts with earlier lines.
func (s *Splitter) check(line []byte, number int) error {
	if len(bytes.TrimSpace(line)) == 0 {
		return lineError(fault.CodeInvalid, number, "blank line")
	}
	if number > s.MaxItems {
		return lineError(fault.CodeTooLarge, number, fmt.Sprintf("more than %d items", s.MaxItems))
	}
	var item Item
	if err := json.Unmarshal(line, &item); err != nil {
		return lineError(fault.CodeInvalid, number, err.Error())
	}
	if item.CustomID == "" {
		return lineError(fault.CodeInvalid, number, "custom_id is empty")
	}
	var body struct {
		Model    string            `json:"model"`
		Messages []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return lineError(fault.CodeInvalid, number, "body: "+err.Error())
	}
	if body.Model == "" {
		return lineError(fault.CodeInvalid, number, "body has no model")
	}
	if s.model == "" {
		s.model = body.Model
	}
	if body.Model != s.model {
		return lineError(fault.CodeInvalid, number, fmt.Sprintf("model %q differs from %q of the first line", body.Model, s.model))
	}
	// The hash bounds the memory per item for custom_ids of any length.
	id := sha256.Sum256([]byte(item.CustomID))
	if _, ok := s.seen[id]; ok {
		return lineError(fault.CodeInvalid, number, fmt.Sprintf("duplicate custom_id %q", item.CustomID))
	}
	s.seen[id] = struct{}{}

	return nil
}

// add appends a line and its line feed to the chunk and starts a new chunk when a limit is reached.
func (s *Splitter) add(line []byte, put func(chunk int, data []byte) error) error {
	size := len(line) + 1
	if s.info.Items > 0 && (s.info.Items >= s.ChunkItems || s.info.Bytes+size > s.ChunkBytes) {
		if err := s.flush(put); err != nil {
			return err
		}
	}
	s.chunk = append(append(s.chunk, line...), '\n')
	s.info.Items++
	s.info.Bytes += size
	s.file.Items++
	s.file.Bytes += size

	return nil
}

func (s *Splitter) flush(put func(chunk int, data []byte) error) error {
	if err := put(len(s.file.Chunks), s.chunk); err != nil {
		return err
	}
	s.file.Chunks = append(s.file.Chunks, s.info)
	s.info = ChunkInfo{
		FirstItem: s.file.Items,
	}
	s.chunk = s.chunk[:0]

	return nil
}

func lineError(code fault.Code, number int, reason string) error {
	e := fault.New(code, fmt.Sprintf("line %d: %s", number, reason))
	e.Param = fmt.Sprintf("line %d", number)

	return e
}

// Items decodes a chunk that Split has produced.
func Items(chunk []byte) ([]Item, error) {
	var items []Item
	for line := range bytes.Lines(chunk) {
		var item Item
		if err := json.Unmarshal(line, &item); err != nil {
			return nil, fault.Wrap(err, fault.CodeInternal, fmt.Sprintf("cannot decode stored item %d", len(items)))
		}
		items = append(items, item)
	}

	return items, nil
}
