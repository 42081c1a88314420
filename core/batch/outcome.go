package batch

import (
	"tarragonwalk/core/fault"
)

// outcome is what happens to an item after one of its runs.
type outcome int

const (
	outcomeDone outcome = iota
	// outcomeFailed ends the item with a failed result.
	outcomeFailed
	// outcomeRetry runs the item again and counts the run as an attempt.
	outcomeRetry
	// outcomeWait runs the item again without counting the run: it did not start, or online work preempted it.
	outcomeWait
)

// classify returns the outcome of a run that ended with err.
func classify(err error) outcome {
	switch fault.CodeOf(err) {
	case "":
		return outcomeDone
	case fault.CodeInvalid, fault.CodeNotFound, fault.CodeTooLarge, fault.CodeUnauthorized, fault.CodeForbidden,
		fault.CodeDeadlinePassed:
		return outcomeFailed
	case fault.CodePreempted:
		return outcomeWait
	}
	if fault.NotRun(err) {
		return outcomeWait
	}

	return outcomeRetry
}
