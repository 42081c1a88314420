package rollout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a rollout that takes a whole deployment out of service, or that loads more engines at once than the weight store
// can supply.
func TestChooseLoads(t *testing.T) {
	old, current := weights{model: "m", version: "1"}, weights{model: "m", version: "2"}
	none := weights{model: nothingLoaded}
	engine := func(have weights, loading, seen bool) target {
		return target{
			deployment: "d",
			want:       current,
			have:       have,
			loading:    loading,
			responded:  seen,
		}
	}
	cases := []struct {
		name    string
		targets []target
		want    int
	}{
		{name: "up to date", targets: []target{engine(current, false, true), engine(current, false, true)}, want: 0},
		{name: "half of four", targets: []target{engine(old, false, true), engine(old, false, true), engine(old, false, true), engine(old, false, true)}, want: 2},
		{name: "one of two is loading", targets: []target{engine(old, true, true), engine(old, false, true)}, want: 0},
		{name: "one of two is lost", targets: []target{engine(weights{}, false, false), engine(old, false, true)}, want: 0},
		{name: "the only one", targets: []target{engine(old, false, true)}, want: 1},
		{name: "three empty", targets: []target{engine(none, false, true), engine(none, false, true), engine(none, false, true)}, want: maxLoads},
		{name: "no report of weights", targets: []target{engine(weights{}, false, true)}, want: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for n := range c.targets {
				c.targets[n].name = fmt.Sprintf("e-%d", n)
			}
			is.Equal(len(chooseLoads(c.targets)), c.want)
		})
	}
}
