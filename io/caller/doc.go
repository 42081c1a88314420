// Package caller serves the HTTP API of callers: chat completions, files, batches, models, addresses and services.
package caller
