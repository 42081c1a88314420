package cluster

import (
	"slices"
	"strconv"
	"time"

	"tarragonwalk/core/rendezvous"
)

const (
	// turnWindow is longer than the time in which the counts of one instance reach all others; turnUse is the part of it
	// in which the instance whose turn it is may start batch items.
	turnWindow = 300 * time.Millisecond
	turnUse    = 75 * time.Millisecond
	// zoneWindow and zoneUse are the same for the instances of one zone, who hear of changed counts within 25 ms. The shorter
	// they are, the sooner places are used again that a burst of online requests leaves.
	zoneWindow = 100 * time.Millisecond
	zoneUse    = 50 * time.Millisecond
)

// contenders are the instances whose items wait. They are listed once in a window of a zone: an instance with items asks for
// each backend server several times in it.
type contenders struct {
	window int64
	// all and zone are the names of this instance and the others, of the whole fleet and by availability zone.
	all  []string
	zone map[string][]string
}

// Turn reports whether it is this instance's turn to start batch items on a backend server; it is asked by one that has some.
// Counts of other instances arrive late; if all of them filled the same free places at once, most of the items would be
// preempted again. The turn passes on at random among the instances of the server's zone whose items wait. If there are none,
// it passes among all others with items, more slowly, since their counts take longer.
func (c *Cluster) Turn(server, zone string, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if window := at.UnixNano() / int64(zoneWindow); c.turns.window != window {
		c.turns = c.contenders(window, at)
	}
	names, window, use := c.turns.zone[zone], zoneWindow, zoneUse
	if len(names) == 0 {
		names, window, use = c.turns.all, turnWindow, turnUse
	}
	number, passed := at.UnixNano()/int64(window), at.UnixNano()%int64(window)

	return passed <= int64(use) && rendezvous.Highest(server+strconv.FormatInt(number, 10), names) == c.self.Name
}

// contenders needs the lock.
func (c *Cluster) contenders(window int64, at time.Time) contenders {
	list := contenders{
		window: window,
		zone:   map[string][]string{},
	}
	add := func(name, zone string) {
		list.all = append(list.all, name)
		list.zone[zone] = append(list.zone[zone], name)
	}
	add(c.self.Name, c.self.Zone)
	for name, p := range c.peers {
		if p.beat.Queued > 0 && p.live(at) {
			add(name, p.beat.Sender.Zone)
		}
	}
	slices.Sort(list.all)

	return list
}
