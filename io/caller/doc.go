// Package caller serves the HTTP API for callers: chat completions, files, batches, models, addresses and services.
package caller
