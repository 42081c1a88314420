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
	// Deadline is when the caller stops waiting; zero if it has set none.
	Deadline time.Time
	// Identified is set if callers are told apart by keys. Then Header's key and name of a workspace, which the caller sent, are not
	// forwarded, and Workspace is.
	Identified bool
	// Workspace is the name of the caller's workspace, empty if the request needed no key and has none that is known.
	Workspace string
	// Priority is that of the workspace, else of the route, nil if neither has one; 0 is the highest.
	Priority *int
}
