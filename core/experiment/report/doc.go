// Package report holds the figures of a run of the experiment.
package report
