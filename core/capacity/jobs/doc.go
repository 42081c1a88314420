// Package jobs measures store calls and memory of batch jobs: submission, run, status, open jobs and held chunks.
package jobs
