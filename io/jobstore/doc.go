// Package jobstore keeps batch files, jobs and results in the object store.
package jobstore
