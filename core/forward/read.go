package forward

import (
	"io"

	"tarragonwalk/core/bufferpool"
	"tarragonwalk/core/fault"
)

const (
	// firstPieceBytes and maxPieceBytes are the sizes of the first and of the largest pieces in which a response is read.
	firstPieceBytes = 8 << 10
	maxPieceBytes   = 256 << 10
)

var pieces bufferpool.Pool

var errTooLong = fault.New(fault.CodeOutcomeUnknown, "the response is too long")

// readWhole reads a stream to its end. It fails with errTooLong if the stream is longer than limit, and with bytebudget.ErrDropped if there
// is no memory for it; resize sets the bytes that it takes of a budget. It reads pieces and joins them at the end: a buffer that grows would
// take up to three times the size of a response that never ends.
func readWhole(stream io.Reader, limit int, resize func(size int) error) ([]byte, error) {
	piece := pieces.Get(firstPieceBytes)
	var full [][]byte
	defer func() {
		for _, p := range full {
			pieces.Put(p)
		}
		pieces.Put(piece)
	}()
	size, held := 0, cap(piece)
	for {
		if len(piece) == cap(piece) {
			next := min(2*cap(piece), maxPieceBytes)
			if err := resize(held + next); err != nil {
				return nil, err
			}
			held += next
			full = append(full, piece)
			piece = pieces.Get(next)
		}
		n, err := stream.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		size += n
		switch {
		case size > limit:
			return nil, errTooLong
		case err == io.EOF: //nolint:errorlint // Read returns it unwrapped.
			return join(full, piece, size, held, resize)
		case err != nil:
			return nil, err //nolint:wrapcheck // the caller wraps it
		}
	}
}

// join returns pieces, which hold a number of bytes of a budget, as one.
func join(full [][]byte, last []byte, size, held int, resize func(size int) error) ([]byte, error) {
	if err := resize(held + size); err != nil {
		return nil, err
	}
	content := make([]byte, 0, size)
	for _, p := range full {
		content = append(content, p...)
	}
	content = append(content, last...)

	return content, resize(size)
}
