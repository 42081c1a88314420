package storecalls

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a simulated clock that runs at another pace than the follower's polls, which are 2 s long.
func TestOpen(t *testing.T) {
	is := is.New(t)
	s, err := New().open(context.Background())
	is.NoErr(err)
	is.Equal(len(s), 1)
	is.True(s[0].Points[0].Value > 0.49)
	is.True(s[0].Points[0].Value < 0.51)
}
