package purpose

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a call that hides the operation it is part of, so that a takeover counts like an ordinary read.
func TestWithNamesWiderPurpose(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(t.Context()), "")
	takeover := With(t.Context(), "takeover")
	is.Equal(Of(With(takeover, "items")), "takeover/items")
	is.Equal(Of(takeover), "takeover")
}
