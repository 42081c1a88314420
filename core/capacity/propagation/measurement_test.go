package propagation

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a simulation in which a change spreads faster than one poll of 3 peers per round allows.
func TestRounds(t *testing.T) {
	is := is.New(t)
	m := New()
	is.Equal(m.rounds(5, 5), 0)
	is.Equal(m.rounds(4, 1), 1) // each polls all three others
	for range 100 {
		is.True(m.rounds(420, 1) >= 4) // on average, the number of informed instances grows at most fourfold in a round
	}
}
