// Package job defines batch files, jobs, claims and results.
package job
