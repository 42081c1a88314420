// Package work defines the stored form of jobs of opaque requests: the job's record, its items and its results.
package work
