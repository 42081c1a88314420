package propagation

import (
	"context"
	"fmt"
	"math/rand/v2"

	"tarragonwalk/core/capacity/slope"
)

const (
	// peers is the number of peers that core/exchange polls in each round if there are more than 16 instances.
	peers = 3
	runs  = 1000
)

// Measurement simulates the rounds of core/exchange instead of running it, since real rounds are a second apart.
type Measurement struct {
	random *rand.Rand
}

// New returns a measurement with a fixed seed.
func New() *Measurement {
	return &Measurement{
		random: rand.New(rand.NewPCG(1, 1)), //nolint:gosec // a simulation
	}
}

// Run returns the number of rounds until all instances are informed of a change, in the slowest of 1,000 runs.
func (m *Measurement) Run(ctx context.Context) ([]slope.Slope, error) {
	var all []slope.Slope
	for _, sources := range []int{1, 20} {
		var points []slope.Point
		for _, n := range []int{32, 128, 420} {
			slowest := 0
			for range runs {
				if ctx.Err() != nil {
					return nil, ctx.Err()
				}
				slowest = max(slowest, m.rounds(n, sources))
			}
			points = append(points, slope.Point{
				Size:  float64(n),
				Value: float64(slowest),
			})
		}
		name := fmt.Sprintf("simulated rounds until all know a change of %d, slowest of %d runs", sources, runs)
		all = append(all, slope.Fit(name, "live instances, 3 peers a round", "rounds", points))
	}

	return all, nil
}

// rounds returns the number of rounds until all instances are informed. In each round, every uninformed instance polls
// random peers; a peer informed in the same round does not pass the change on until the next one.
func (m *Measurement) rounds(instances, sources int) int {
	informed := make([]bool, instances)
	for i := range min(sources, instances) {
		informed[i] = true
	}
	for round := 0; ; round++ {
		var learned []int
		missing := 0
		for i, k := range informed {
			if k {
				continue
			}
			missing++
			if m.pollsInformed(informed, i) {
				learned = append(learned, i)
			}
		}
		if missing == 0 {
			return round
		}
		for _, i := range learned {
			informed[i] = true
		}
	}
}

// pollsInformed reports whether at least one of the distinct random peers that instance i polls is informed.
func (m *Measurement) pollsInformed(informed []bool, i int) bool {
	polled := map[int]bool{
		i: true,
	}
	for len(polled) <= peers {
		o := m.random.IntN(len(informed))
		if polled[o] {
			continue
		}
		polled[o] = true
		if informed[o] {
			return true
		}
	}

	return false
}
