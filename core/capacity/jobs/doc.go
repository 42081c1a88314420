// Package jobs measures the store calls of submitting, running and querying batch jobs, and the memory of open jobs and
// of claimed chunks.
package jobs
