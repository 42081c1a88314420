package forward

import (
	"io"

	"tarragonwalk/core/fault"
)

// firstBufferBytes is the size with which the buffer of a response starts.
const firstBufferBytes = 8 << 10

var errTooLong = fault.New(fault.CodeOutcomeUnknown, "the response is too long")

// readWhole reads a stream to its end. It fails with errTooLong if the stream is longer than limit, and with bytebudget.ErrDropped if there
// is no memory for it; resize sets the bytes that it takes of a budget.
func readWhole(stream io.Reader, limit int, resize func(size int) error) ([]byte, error) {
	content := make([]byte, 0, firstBufferBytes)
	for {
		if len(content) == cap(content) {
			if len(content) >= limit {
				return nil, errTooLong
			}
			// Both buffers are in memory while one is copied to the other.
			if err := resize(3 * cap(content)); err != nil {
				return nil, err
			}
			content = append(make([]byte, 0, 2*cap(content)), content...)
			if err := resize(cap(content)); err != nil {
				return nil, err
			}
		}
		n, err := stream.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case len(content) > limit:
			return nil, errTooLong
		case err == io.EOF: //nolint:errorlint // Read returns it unwrapped.
			return content, nil
		case err != nil:
			return nil, err //nolint:wrapcheck // the caller wraps it
		}
	}
}
