package headernames

// Names holds header names in canonical form.
type Names struct {
	// RequestID carries the caller's ID of a request; backend servers repeat it in their responses.
	RequestID string
	// DeadlineMillis carries the milliseconds that the sender will wait.
	DeadlineMillis string
	// ExpectedServer carries the ID of the only backend server that may run the request.
	ExpectedServer string
	// NotRun marks a response that guarantees that the request did not run.
	NotRun string
	// ServerID carries the ID of the backend server that sent the response.
	ServerID string
	// PromptParts carries the IDs and lengths of the parts of the request's prompt.
	PromptParts string
	// ServerLeaving marks a response of a backend server that is about to stop.
	ServerLeaving string
	// Wait carries the milliseconds that a reader of results will wait for the next result.
	Wait string
	// APIKey carries the key of a caller; it is never forwarded if the route table has workspaces.
	APIKey string
	// Workspace carries the name of the workspace to which the key belongs.
	Workspace string
}
