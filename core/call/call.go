package call

import (
	"net/http"
	"time"
)

// Call is a request of a caller; its body is opaque and is forwarded unchanged.
type Call struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Prompt is the ID of the prompt part that belongs to the request itself or to its session, empty if it has none.
	Prompt string
	// Parts are the IDs of the prompt parts that the request may share with others.
	Parts []string
	// Workspace is the name of the workspace of the caller, empty if it needs none.
	Workspace string
	// Deadline is when the caller stops waiting; zero if it has set none.
	Deadline time.Time
}
