package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against keys that are spread unevenly over the names, and against keys that move although their name stays in the
// list.
func TestHighestSpreadsAndStays(t *testing.T) {
	is := is.New(t)
	var names []string
	for n := range 8 {
		names = append(names, fmt.Sprintf("entry-%d", n))
	}
	counts := map[string]int{}
	for k := range 8000 {
		key := fmt.Sprintf("worker-%d", k)
		best := Highest(key, names)
		counts[best]++
		is.Equal(Top(key, names, 3)[0], best)
		gone := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "entry-3" })
		if best != "entry-3" {
			is.Equal(Highest(key, gone), best)
		}
	}
	for _, n := range names {
		is.True(counts[n] > 800 && counts[n] < 1200)
	}
	is.Equal(Highest("k", nil), "")
	is.Equal(len(Top("k", names, 20)), 8)
}
