package batch

import (
	"tarragonwalk/core/fault"
)

// outcome is what follows from the end of one run of an item.
type outcome int

const (
	outcomeDone outcome = iota
	// outcomeFailed ends the item with a failed result.
	outcomeFailed
	// outcomeRetry counts as an attempt.
	outcomeRetry
	// outcomeWait does not count: the item did not run, or it was interrupted by online work.
	outcomeWait
)

// classify judges the error of a run.
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
