package response

import (
	"io"
	"net/http"
)

// Response is a response whose body is still to be read; closing the body before its end cancels the request on the backend
// server.
type Response struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	Body   io.ReadCloser
}
