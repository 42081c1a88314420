// Package report defines the report of an experiment run.
package report
