package fault

import (
	"errors"
	"time"
)

// Error is a failure with a code that programs act on and a message for people.
type Error struct {
	Code    Code
	Message string
	// Param names the request field or setting at fault, or is empty.
	Param string
	// Fields gives a reason for each invalid field, by its path.
	Fields map[string]string
	// Version is the current version for CodeStaleVersion and CodeConflict.
	Version int64
	// RetryAt is when a retry may succeed; zero if unknown.
	RetryAt time.Time
	cause   error
}

// New returns a failure with a code and a message.
func New(code Code, message string) *Error {
	return &Error{
		Code:    code,
		Message: message,
	}
}

// Wrap returns a failure with a code and a message that unwraps to cause.
func Wrap(cause error, code Code, message string) *Error {
	return &Error{
		Code:    code,
		Message: message,
		cause:   cause,
	}
}

// Error returns the message followed by the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Message
	}

	return e.Message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Is reports whether target is a failure with the same code, so that errors.Is matches by code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error) //nolint:errorlint // errors.Is unwraps; this compares one level.

	return ok && t.Code == e.Code
}

// Caused reports whether a failure itself, and not only one with the same code, is in err's chain.
func Caused(err, failure error) bool {
	for ; err != nil; err = errors.Unwrap(err) {
		if err == failure { //nolint:errorlint // the identity counts, which errors.Is does not compare.
			return true
		}
	}

	return false
}

// CodeOf returns the code of the outermost failure in err's chain, CodeInternal if there is none, or empty for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}

	return CodeInternal
}

// NotRun reports whether err states that no part of the request ran.
func NotRun(err error) bool {
	switch CodeOf(err) {
	case CodeInvalid, CodeUnauthorized, CodeForbidden, CodeNotFound, CodeConflict, CodeStaleVersion, CodeTooLarge,
		CodeNotRun, CodeOverloaded, CodeQuotaExceeded, CodeBackendUnreachable, CodeBackendLeaving:
		return true
	default:
		return false
	}
}
