// Package slack orders batch jobs by the time they can spare.
package slack
