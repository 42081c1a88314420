package slope

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against a wrong fit, since every computed value of docs/CAPACITY.md depends on it.
func TestFit(t *testing.T) {
	cases := []struct {
		name                       string
		points                     []Point
		slope, intercept, residual float64
	}{
		{name: "none"},
		{
			name: "one size",
			points: []Point{{
				Size:  2,
				Value: 1,
			}, {
				Size:  2,
				Value: 3,
			}},
			intercept: 2,
			residual:  1,
		},
		{
			name: "exact",
			points: []Point{{
				Size:  1,
				Value: 5,
			}, {
				Size:  2,
				Value: 7,
			}, {
				Size:  10,
				Value: 23,
			}},
			slope:     2,
			intercept: 3,
		},
		{
			name: "scattered",
			points: []Point{{
				Size:  0,
				Value: 0,
			}, {
				Size:  1,
				Value: 3,
			}, {
				Size:  2,
				Value: 0,
			}},
			intercept: 1,
			residual:  math.Sqrt2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := Fit("n", "s", "u", c.points)
			is.True(math.Abs(s.Slope-c.slope) < 1e-9)
			is.True(math.Abs(s.Intercept-c.intercept) < 1e-9)
			is.True(math.Abs(s.Residual-c.residual) < 1e-9)
		})
	}
}
