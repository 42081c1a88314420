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
// is no memory for it; resize sets the bytes that it takes of a budget. It returns pieces, which putPieces takes back: a response that is
// joined takes twice its size, and a buffer that grows up to three times the size of one that never ends.
func readWhole(stream io.Reader, limit int, resize func(size int) error) (content [][]byte, err error) {
	piece := pieces.Get(firstPieceBytes)
	var full [][]byte
	defer func() {
		if err != nil {
			putPieces(append(full, piece))
			_ = resize(0) // fails if the response was dropped
		}
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
			return append(full, piece), nil
		case err != nil:
			return nil, err //nolint:wrapcheck // the caller wraps it
		}
	}
}

// putPieces gives the memory of a response back, which must not be used afterwards.
func putPieces(content [][]byte) {
	for _, p := range content {
		pieces.Put(p)
	}
}
