package fault

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a code that is lost when an error is wrapped: a refusal would then be reported as an internal error.
func TestCodeOf(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		code   Code
		notRun bool
	}{
		{name: "nil", err: nil, code: "", notRun: false},
		{name: "foreign", err: errors.New("x"), code: CodeInternal, notRun: false},
		{name: "wrapped", err: fmt.Errorf("y: %w", New(CodeOverloaded, "full")), code: CodeOverloaded, notRun: true},
		{name: "unknown outcome", err: New(CodeOutcomeUnknown, "lost"), code: CodeOutcomeUnknown, notRun: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CodeOf(c.err), c.code)
			is.Equal(NotRun(c.err), c.notRun)
		})
	}
}

// Guards against taking a failure for another one that has the same code.
func TestCausedComparesFailures(t *testing.T) {
	is := is.New(t)
	one, other := New(CodeStreamLost, "one"), New(CodeStreamLost, "other")
	wrapped := Wrap(one, CodeOutcomeUnknown, "wrapped")
	is.True(Caused(wrapped, one))
	is.True(!Caused(wrapped, other))
	is.True(!Caused(nil, one))
}
