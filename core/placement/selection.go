package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/gossip"
)

const (
	// forgetTime is the age at which a reported difference between servers counts 1/e. Requests run for 0.3 to 1 s, but the choices of
	// all instances even out a difference sooner than the requests end.
	forgetTime = 150 * time.Millisecond
	// freshAge is the age up to which reports are used as they are. Changed counts arrive within 25 ms in a small zone.
	freshAge = 25 * time.Millisecond
	// herdRatio is the ratio of the others' requests to this instance's own above which two random servers are compared. With few
	// instances the exact own counts are a large part of the load, and the least loaded server is the better choice.
	herdRatio = 4
)

// view is what an instance knows of a server's requests in flight.
type view struct {
	server      backend.Server
	own, others gossip.Count
	// online is the number of online requests in flight, as reported or as estimated.
	online float64
}

// estimate sets the online requests in flight as they likely are now. The others' requests differ from the mean per slot less the older
// the reports are, because the others have chosen by the same differences since.
func estimate(views []view, age time.Duration) {
	if age <= freshAge {
		return
	}
	sum, slots := 0, 0
	for _, v := range views {
		sum += v.others.Online
		slots += slotsOf(v.server)
	}
	keep := math.Exp(-float64(age-freshAge) / float64(forgetTime))
	for n, v := range views {
		mean := float64(sum) / float64(slots) * float64(slotsOf(v.server))
		views[n].online = float64(v.own.Online) + mean + keep*(float64(v.others.Online)-mean)
	}
}

// herds reports whether many instances that choose the least loaded server by reports of an age would overrun it.
func herds(views []view, age time.Duration) bool {
	own, others := 0, 0
	for _, v := range views {
		own += v.own.Online
		others += v.others.Online
	}

	return age > freshAge && others > herdRatio*own
}

// candidate is a server that may be chosen.
type candidate struct {
	server backend.Server
	// value is its load per slot.
	value float64
	// weight is the instance's weight for the server.
	weight float64
}

// leastLoaded returns the index of a server whose value is at most a band, divided by its slots, above the lowest one. It prefers
// servers whose weight is below preferredShare, and chooses a random one of equals.
func leastLoaded(list []candidate, band, preferredShare float64, random *rand.Rand) int {
	least := math.Inf(1)
	for _, c := range list {
		least = min(least, c.value)
	}
	best, equal, preferred := 0, 0, false
	for n, c := range list {
		isPreferred := c.weight < preferredShare
		switch {
		case c.value > least+band/float64(slotsOf(c.server)) || preferred && !isPreferred:
			continue
		case isPreferred && !preferred:
			best, equal, preferred = n, 1, true
		default:
			equal++
			if random.IntN(equal) == 0 {
				best = n
			}
		}
	}

	return best
}

// lowerOfTwo returns the index of the one with the lower value of two servers that are drawn in proportion to their slots.
func lowerOfTwo(list []candidate, random *rand.Rand) int {
	slots := 0
	for _, c := range list {
		slots += slotsOf(c.server)
	}
	draw := func() int {
		left := random.IntN(slots)
		for n, c := range list {
			if left -= slotsOf(c.server); left < 0 {
				return n
			}
		}

		return 0
	}
	a, b := draw(), draw()
	if list[b].value < list[a].value {
		return b
	}

	return a
}
