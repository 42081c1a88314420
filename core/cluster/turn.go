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
)

// contenders are the instances whose items wait in one window of turns. They are listed once a window: an instance with items
// asks for each backend server several times in it.
type contenders struct {
	window int64
	// all and zone are the names of this instance and the others, of the whole fleet and by availability zone.
	all  []string
	zone map[string][]string
}

// Turn reports whether it is this instance's turn to start batch items on a backend server; it is asked by one that has some.
// Counts of other instances arrive late; if all of them filled the same free places at once, most of the items would be
// preempted again. The turn passes on at random among the instances whose items wait, since places stay idle while one
// without items has it; every other time only those of the server's zone have it.
func (c *Cluster) Turn(server, zone string, at time.Time) bool {
	window := at.UnixNano() / int64(turnWindow)
	if at.UnixNano()%int64(turnWindow) > int64(turnUse) {
		return false
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.turns.window != window {
		c.turns = c.contenders(window, at)
	}
	names := c.turns.all
	if local := c.turns.zone[zone]; window%2 == 0 && len(local) > 0 {
		names = local
	}

	return rendezvous.Highest(server+strconv.FormatInt(window, 10), names) == c.self.Name
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
