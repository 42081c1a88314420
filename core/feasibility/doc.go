// Package feasibility estimates when a job can be completed beside those that are accepted.
package feasibility
