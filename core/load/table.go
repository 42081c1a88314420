package load

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonwalk/core/gossip"
)

type report struct {
	counts map[string]gossip.Count
	// zone is empty for instances of the own availability zone.
	zone string
	// madeAt is when the counts were taken.
	madeAt time.Time
}

// Table holds the counts by backend server; it is safe for concurrent use.
type Table struct {
	// lock guards all fields below.
	lock  sync.Mutex
	own   map[string]gossip.Count
	peers map[string]report
	// zones are reports with the sums over all instances of another availability zone.
	zones map[string]report
	// reported are the sums over peers and zones by server. They are updated with each report, since adding up the reports of
	// a large fleet for each server would take too long for each request that is placed.
	reported map[string]gossip.Count
	// expiresAt is when the first of the reports expires.
	expiresAt time.Time
	changed   chan struct{}
}

// New returns an empty table.
func New() *Table {
	return &Table{
		own:      map[string]gossip.Count{},
		peers:    map[string]report{},
		zones:    map[string]report{},
		reported: map[string]gossip.Count{},
		changed:  make(chan struct{}, 1),
	}
}

// Add changes the instance's own counts on a server.
func (t *Table) Add(server string, online, batch int) {
	t.lock.Lock()
	c := t.own[server]
	c.Server = server
	c.Online += online
	c.Batch += batch
	if c.Online == 0 && c.Batch == 0 {
		delete(t.own, server)
	} else {
		t.own[server] = c
	}
	t.lock.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Hold counts one more online request on a server for a time.
func (t *Table) Hold(server string, d time.Duration) {
	t.Add(server, 1, 0)
	time.AfterFunc(d, func() { t.Add(server, -1, 0) })
}

// Changed returns a channel that receives after the instance's own counts have changed.
func (t *Table) Changed() <-chan struct{} {
	return t.changed
}

// Observe records the counts of a peer that were taken at a time; zone is its availability zone, empty for the own one. They
// are ignored while there is a report on the whole zone, which includes them.
func (t *Table) Observe(peer, zone string, counts []gossip.Count, at time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(at)
	if z, ok := t.zones[zone]; ok && at.Sub(z.madeAt) <= gossip.ReportLife {
		return
	}
	t.replace(t.peers, peer, zone, counts, at)
}

// ObserveZone records the sums over all instances of another availability zone that were taken at a time. They replace the
// counts of single instances there.
func (t *Table) ObserveZone(zone string, counts []gossip.Count, at time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if at.Before(t.zones[zone].madeAt) {
		return
	}
	for name, p := range t.peers {
		if p.zone == zone {
			t.addToReported(p.counts, -1)
			delete(t.peers, name)
		}
	}
	t.replace(t.zones, zone, zone, counts, at)
}

// ObserveDigest records the sums over all instances of the own availability zone that were taken at a time. They include the counts
// own of this instance, which are subtracted.
func (t *Table) ObserveDigest(counts, own []gossip.Count, at time.Time) {
	others := make(map[string]gossip.Count, len(counts))
	for _, c := range counts {
		others[c.Server] = c
	}
	for _, c := range own {
		o, ok := others[c.Server]
		if !ok {
			continue
		}
		o.Online, o.Batch = max(0, o.Online-c.Online), max(0, o.Batch-c.Batch)
		others[c.Server] = o
	}
	t.ObserveZone("", slices.Collect(maps.Values(others)), at)
}

// ForgetDigest drops the sums over the own availability zone, so that the counts of its instances apply again.
func (t *Table) ForgetDigest() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.addToReported(t.zones[""].counts, -1)
	delete(t.zones, "")
}

// replace stores a report in place of the previous one with its name; the caller holds the lock.
func (t *Table) replace(reports map[string]report, name, zone string, counts []gossip.Count, at time.Time) {
	m := make(map[string]gossip.Count, len(counts))
	for _, c := range counts {
		m[c.Server] = c
	}
	t.addToReported(reports[name].counts, -1)
	t.addToReported(m, 1)
	reports[name] = report{
		counts: m,
		zone:   zone,
		madeAt: at,
	}
	if expiresAt := at.Add(gossip.ReportLife); t.expiresAt.IsZero() || expiresAt.Before(t.expiresAt) {
		t.expiresAt = expiresAt
	}
}

// ZoneCounts returns the sums of the own counts and of those of the peers in the own availability zone, ordered by server, and the number
// of instances whose counts they contain.
func (t *Table) ZoneCounts(at time.Time) (counts []gossip.Count, members int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(at)
	sums := maps.Clone(t.own)
	members = 1
	for _, p := range t.peers {
		if p.zone != "" {
			continue
		}
		members++
		for server, c := range p.counts {
			s := sums[server]
			s.Server = server
			s.Online += c.Online
			s.Batch += c.Batch
			sums[server] = s
		}
	}

	return sorted(sums), members
}

// addToReported adds counts to the reported sums, or subtracts them if sign is -1; the caller holds the lock.
func (t *Table) addToReported(counts map[string]gossip.Count, sign int) {
	for server, c := range counts {
		s := t.reported[server]
		s.Online += sign * c.Online
		s.Batch += sign * c.Batch
		if s.Online == 0 && s.Batch == 0 {
			delete(t.reported, server)
		} else {
			t.reported[server] = s
		}
	}
}

// expire drops reports that are older than gossip.ReportLife; the caller holds the lock.
func (t *Table) expire(at time.Time) {
	if t.expiresAt.IsZero() || !at.After(t.expiresAt) {
		return
	}
	t.expiresAt = time.Time{}
	for _, reports := range []map[string]report{t.peers, t.zones} {
		for name, r := range reports {
			expiresAt := r.madeAt.Add(gossip.ReportLife)
			switch {
			case at.After(expiresAt):
				t.addToReported(r.counts, -1)
				delete(reports, name)
			case t.expiresAt.IsZero() || expiresAt.Before(t.expiresAt):
				t.expiresAt = expiresAt
			}
		}
	}
}

// InFlight returns the requests in flight on a server, of this instance and of its peers.
func (t *Table) InFlight(server string, at time.Time) (online, batch int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(at)
	own, reported := t.own[server], t.reported[server]

	return own.Online + reported.Online, own.Batch + reported.Batch
}

// OldestReport returns when the oldest of the counts of other instances was taken, zero if there are none.
func (t *Table) OldestReport(at time.Time) time.Time {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(at)
	var oldest time.Time
	for _, reports := range []map[string]report{t.peers, t.zones} {
		for _, r := range reports {
			if oldest.IsZero() || r.madeAt.Before(oldest) {
				oldest = r.madeAt
			}
		}
	}

	return oldest
}

// OwnBatch returns the instance's own batch items in flight on a server.
func (t *Table) OwnBatch(server string) int {
	t.lock.Lock()
	defer t.lock.Unlock()

	return t.own[server].Batch
}

// OwnCounts returns the instance's own counts, ordered by server.
func (t *Table) OwnCounts() []gossip.Count {
	t.lock.Lock()
	defer t.lock.Unlock()

	return sorted(t.own)
}

func sorted(counts map[string]gossip.Count) []gossip.Count {
	list := slices.AppendSeq(make([]gossip.Count, 0, len(counts)), maps.Values(counts))
	slices.SortFunc(list, func(a, b gossip.Count) int { return strings.Compare(a.Server, b.Server) })

	return list
}
