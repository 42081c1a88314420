// Package batch runs the items of batch jobs and publishes their results.
package batch
