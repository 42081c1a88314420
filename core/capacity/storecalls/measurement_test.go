package storecalls

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a simulated clock out of step with the follower's watches, which last 2 s each, so that one follower
// makes half a call per second.
func TestOpen(t *testing.T) {
	is := is.New(t)
	s, err := New().open(context.Background())
	is.NoErr(err)
	is.Equal(len(s), 1)
	is.True(s[0].Points[0].Value > 0.49)
	is.True(s[0].Points[0].Value < 0.51)
}
