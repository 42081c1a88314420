// Package job defines batch files, jobs, claims and results, and their keys in the object store.
package job
