// Package slack orders batch jobs by fairness between workspaces and by slack, the time until work on a job must start.
package slack
