package spread

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a simulation that lets a change travel faster than one question a round allows.
func TestRounds(t *testing.T) {
	is := is.New(t)
	m := New()
	is.Equal(m.rounds(5, 5), 0)
	is.Equal(m.rounds(4, 1), 1) // each asks all three others
	for range 100 {
		is.True(m.rounds(420, 1) >= 4) // the number of those that know grows at most fourfold on average
	}
}
