package httperror

import (
	"encoding/json"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

// Guards against a fault code without a status, and against a wrong "not-run" header.
func TestEveryCode(t *testing.T) {
	is := is.New(t)
	var schema struct {
		Defs map[string]struct{ Enum []fault.Code } `json:"$defs"`
	}
	b, err := os.ReadFile("../../schema/fault.json")
	is.NoErr(err)
	is.NoErr(json.Unmarshal(b, &schema))
	codes := schema.Defs["Code"].Enum
	is.True(len(codes) > 0)
	is.Equal(len(codes), len(statuses))
	for _, c := range codes {
		_, ok := statuses[c]
		is.True(ok)
		e := fault.New(c, "x")
		a := From(e, time.Now())
		is.Equal(a.Header["X-Tarragonwalk-Outcome"] == "not-run", fault.NotRun(e))
	}
}

// Guards against refusals without Retry-After and against responses that reveal internal causes.
func TestAnswer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := fault.New(fault.CodeOverloaded, "full")
	is.Equal(From(e, now).Header["Retry-After"], "1")
	e.RetryAt = now.Add(2500 * time.Millisecond)
	a := From(e, now)
	is.Equal(a.Status, 429)
	is.Equal(a.Header["Retry-After"], "3")
	is.Equal(string(From(errors.New("dial 10.0.0.1"), now).Body),
		`{"error":{"code":"internal","message":"internal error","type":"server_error"}}`)
}
