package httperror

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/openai"
)

// Response is the HTTP response for an error.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
}

// From returns the response for err; it omits the causes of err because they may name internal addresses.
func From(err error, now time.Time) Response {
	var e *fault.Error
	if !errors.As(err, &e) {
		e = fault.New(fault.CodeInternal, "internal error")
	}
	status := Status(e.Code)
	a := Response{
		Status: status,
		Header: map[string]string{"Content-Type": "application/json"},
	}
	if fault.NotRun(e) {
		a.Header["X-Tarragonwalk-Outcome"] = "not-run"
	}
	if e.Code == fault.CodeOverloaded || e.Code == fault.CodeQuotaExceeded || status == http.StatusServiceUnavailable && !e.RetryAt.IsZero() {
		// Rounded up to whole seconds, and at least one, so that callers do not retry at once.
		s := max(1, int((e.RetryAt.Sub(now)+time.Second-1)/time.Second))
		a.Header["Retry-After"] = strconv.Itoa(s)
	}
	if e.Version > 0 {
		a.Header["X-Tarragonwalk-Version"] = strconv.FormatInt(e.Version, 10)
	}
	message := e.Message
	for _, f := range slices.Sorted(maps.Keys(e.Fields)) {
		message += "; " + f + ": " + e.Fields[f]
	}
	a.Body, _ = json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{
		Message: message,
		Type:    errorType(status),
		Code:    string(e.Code),
		Param:   e.Param,
	}})

	return a
}
