package cluster

import (
	"slices"
	"strconv"
	"time"

	"tarragonwalk/core/rendezvous"
)

const (
	// turnWindow is the length of a turn. It is longer than the time in which the counts of one instance reach all others.
	// turnUse is its first part, in which the instance may start batch items; in the rest its counts reach the others.
	turnWindow = 300 * time.Millisecond
	turnUse    = 75 * time.Millisecond
	// zoneWindow and zoneUse are the same within one zone, where changed counts arrive within 25 ms. Short turns let batch
	// items soon use the slots that a burst of online requests frees.
	zoneWindow = 100 * time.Millisecond
	zoneUse    = 50 * time.Millisecond
)

// contenders are the instances with queued batch items. They are computed once per zone window, since an instance with items
// calls Turn several times in it for each backend server.
type contenders struct {
	window int64
	// all and zone are the names, including this instance's, in the whole fleet and by availability zone.
	all  []string
	zone map[string][]string
}

// Turn reports whether it is this instance's turn to start batch items on a backend server. Only an instance with queued items
// may call it. Counts of other instances arrive with a delay; if all instances filled the same free slots at once, most items
// would be preempted again. Each turn goes to a pseudo-random instance with queued items in the server's zone. If there is
// none, it goes to one of the whole fleet, with longer turns because counts of other zones take longer to arrive.
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

// contenders returns the instances with queued items and this one. The caller holds the lock.
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
		if p.heartbeat.Queued > 0 && p.live(at) {
			add(name, p.heartbeat.Sender.Zone)
		}
	}
	slices.Sort(list.all)

	return list
}
