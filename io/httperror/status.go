package httperror

import (
	"net/http"

	"tarragonwalk/core/fault"
)

// statusClosedRequest is the status that proxies use when the client closed the request; net/http has no name for it.
const statusClosedRequest = 499

// statuses maps every fault code to its HTTP status.
var statuses = map[fault.Code]int{
	fault.CodeInvalid:            http.StatusBadRequest,
	fault.CodeUnauthorized:       http.StatusUnauthorized,
	fault.CodeForbidden:          http.StatusForbidden,
	fault.CodeNotFound:           http.StatusNotFound,
	fault.CodeConflict:           http.StatusConflict,
	fault.CodeStaleVersion:       http.StatusConflict,
	fault.CodeTooLarge:           http.StatusRequestEntityTooLarge,
	fault.CodeNotRun:             http.StatusServiceUnavailable,
	fault.CodeOverloaded:         http.StatusTooManyRequests,
	fault.CodeQuotaExceeded:      http.StatusTooManyRequests,
	fault.CodeDeadlinePassed:     http.StatusGatewayTimeout,
	fault.CodeCancelled:          statusClosedRequest,
	fault.CodePreempted:          http.StatusServiceUnavailable,
	fault.CodeOutcomeUnknown:     http.StatusConflict,
	fault.CodeStreamLost:         http.StatusBadGateway,
	fault.CodeBackendUnreachable: http.StatusServiceUnavailable,
	fault.CodeBackendSilent:      http.StatusGatewayTimeout,
	fault.CodeBackendFailed:      http.StatusBadGateway,
	fault.CodeBackendLeaving:     http.StatusServiceUnavailable,
	fault.CodeFenced:             http.StatusConflict,
	fault.CodeStoreUnavailable:   http.StatusServiceUnavailable,
	fault.CodeUnavailable:        http.StatusServiceUnavailable,
	fault.CodeInternal:           http.StatusInternalServerError,
}

// Status returns the HTTP status of a fault code, 500 for an unknown one.
func Status(code fault.Code) int {
	if s, ok := statuses[code]; ok {
		return s
	}

	return http.StatusInternalServerError
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
