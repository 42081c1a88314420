// Package batch runs the items of batch jobs and publishes their results. The instances share the work of a job by claiming its
// chunks in the store.
package batch
