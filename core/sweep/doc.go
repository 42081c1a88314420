// Package sweep deletes the records of ended jobs that are no longer read.
package sweep
