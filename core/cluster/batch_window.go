package cluster

import (
	"slices"
	"strconv"
	"time"

	"tarragonwalk/core/rendezvous"
)

const (
	// fleetWindow is the length of a window in which only one instance of the fleet may start batch items on a backend server. It
	// is longer than the time in which the counts of one instance reach all others. fleetStartTime is its first part, in which the
	// instance may start batch items; in the rest its counts reach the others.
	fleetWindow    = 300 * time.Millisecond
	fleetStartTime = 75 * time.Millisecond
	// zoneWindow and zoneStartTime are the same within one zone, where changed counts arrive within 25 ms. Short windows let
	// batch items soon use the slots that a burst of online requests frees.
	zoneWindow    = 100 * time.Millisecond
	zoneStartTime = 50 * time.Millisecond
	// digestWindow and digestStartTime are the same within a zone in which counts arrive by digests, within 150 ms; in
	// wideWindow and wideStartTime they reach other zones from there.
	digestWindow    = 250 * time.Millisecond
	digestStartTime = 100 * time.Millisecond
	wideWindow      = 375 * time.Millisecond
	wideStartTime   = 75 * time.Millisecond
)

// contenders are the other instances with queued batch items, either items that may still be in time or late ones.
type contenders struct {
	// all and zone are their names in the whole fleet and by availability zone.
	all  []string
	zone map[string][]string
}

// windowContenders are the contenders in one zone window. They are computed once, since an instance with items calls MayStartBatch
// several times in a window for each backend server.
type windowContenders struct {
	window int64
	onTime contenders
	late   contenders
	// large says that this instance's zone is so large that counts arrive by digests; other zones are assumed to be as large.
	large bool
}

// MayStartBatch reports whether this instance may now start batch items on a backend server, late ones or such that may still be in
// time. Only an instance with queued items of that kind may call it. Counts of other instances arrive with a delay; if all
// instances filled the same free slots at once, most items would be preempted again. In each window, only a pseudo-random
// instance with queued items in the server's zone may start some. If there is none, it is one of the whole fleet, with longer
// windows because counts of other zones take longer to arrive. Late items start only while no other instance has queued items
// that may still be in time.
func (c *Cluster) MayStartBatch(server, zone string, late bool, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if window := at.UnixNano() / int64(zoneWindow); c.lastContenders.window != window {
		c.lastContenders = c.contenders(window, at)
	}
	list := &c.lastContenders.onTime
	if late {
		if len(list.all) > 0 {
			return false
		}
		list = &c.lastContenders.late
	}
	names, window, use := c.withSelf(list.zone[zone], zone == c.self.Zone), zoneWindow, zoneStartTime
	switch {
	case len(names) == 0 && c.lastContenders.large:
		names, window, use = c.withSelf(list.all, true), wideWindow, wideStartTime
	case len(names) == 0:
		names, window, use = c.withSelf(list.all, true), fleetWindow, fleetStartTime
	case c.lastContenders.large:
		window, use = digestWindow, digestStartTime
	}
	number, passed := at.UnixNano()/int64(window), at.UnixNano()%int64(window)

	return passed <= int64(use) && rendezvous.Highest(server+strconv.FormatInt(number, 10), names) == c.self.Name
}

// BatchContenders returns how many other instances have queued batch items that may still be in time, how many have late ones, and when the
// first of them was last heard from, zero if there are none.
func (c *Cluster) BatchContenders(at time.Time) (onTime, late int, heardAt time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, p := range c.peers {
		b := &p.heartbeat
		if !p.live(at) || b.Queued+b.QueuedLate == 0 {
			continue
		}
		if b.Queued > 0 {
			onTime++
		}
		if b.QueuedLate > 0 {
			late++
		}
		if heardAt.IsZero() || p.heardAt.Before(heardAt) {
			heardAt = p.heardAt
		}
	}

	return onTime, late, heardAt
}

// withSelf returns the names, with this instance's added if it belongs to them.
func (c *Cluster) withSelf(names []string, member bool) []string {
	if !member {
		return names
	}

	return append(slices.Clip(names), c.self.Name)
}

// contenders returns the other instances with queued items. The caller holds the lock.
func (c *Cluster) contenders(window int64, at time.Time) windowContenders {
	list := windowContenders{
		window: window,
		onTime: contenders{
			zone: map[string][]string{},
		},
		late: contenders{
			zone: map[string][]string{},
		},
		large: len(c.inZone(c.self.Zone)) > smallZone,
	}
	for name, p := range c.peers {
		if !p.live(at) {
			continue
		}
		zone := p.heartbeat.Sender.Zone
		if p.heartbeat.Queued > 0 {
			list.onTime.add(name, zone)
		}
		if p.heartbeat.QueuedLate > 0 {
			list.late.add(name, zone)
		}
	}

	return list
}

func (l *contenders) add(name, zone string) {
	l.all = append(l.all, name)
	l.zone[zone] = append(l.zone[zone], name)
}
