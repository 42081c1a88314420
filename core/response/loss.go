package response

import (
	"errors"
	"io"
	"syscall"
)

// ConnectionLost reports whether an attempt failed because its connection was closed or reset before the response was complete.
func ConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
