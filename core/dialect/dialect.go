package dialect

// Dialect holds header names in canonical form.
type Dialect struct {
	// RequestID carries the caller's ID of a request and is repeated by backend servers.
	RequestID string
	// DeadlineMillis carries the milliseconds that the sender will wait.
	DeadlineMillis string
	// ExpectedServer carries the ID of the only backend server that may run the request.
	ExpectedServer string
	// NotRun marks a response that states that the request did not run.
	NotRun string
	// Stamp marks the responses of backend servers.
	Stamp string
	// Wait carries the milliseconds that a reader of results is willing to wait for the next one.
	Wait string
}
