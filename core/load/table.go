package load

import (
	"sort"
	"sync"
	"time"

	"tarragonwalk/core/gossip"
)

// reportLife is how long a peer's counts are used without a new beat; a peer beats several times a second.
const reportLife = 1500 * time.Millisecond

type report struct {
	counts    map[string]gossip.Count
	expiresAt time.Time
}

// Table holds the counts by backend server; it is safe for concurrent use.
type Table struct {
	// lock guards all fields below.
	lock  sync.Mutex
	own   map[string]gossip.Count
	peers map[string]report
	// reported are the sums of the peers' counts by server. They are kept up to date with each report, since a request that
	// added up the reports of a large fleet for each server would take longer than its place is worth.
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

// Changed receives after the instance's own counts have changed.
func (t *Table) Changed() <-chan struct{} {
	return t.changed
}

// Observe takes the counts of a peer.
func (t *Table) Observe(peer string, counts []gossip.Count, at time.Time) {
	m := make(map[string]gossip.Count, len(counts))
	for _, c := range counts {
		m[c.Server] = c
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.sum(t.peers[peer].counts, -1)
	t.sum(m, 1)
	expiresAt := at.Add(reportLife)
	t.peers[peer] = report{
		counts:    m,
		expiresAt: expiresAt,
	}
	if t.expiresAt.IsZero() || expiresAt.Before(t.expiresAt) {
		t.expiresAt = expiresAt
	}
}

// sum needs the lock.
func (t *Table) sum(counts map[string]gossip.Count, sign int) {
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

// expire drops reports that are too old; it needs the lock.
func (t *Table) expire(at time.Time) {
	if t.expiresAt.IsZero() || !at.After(t.expiresAt) {
		return
	}
	t.expiresAt = time.Time{}
	for name, p := range t.peers {
		switch {
		case at.After(p.expiresAt):
			t.sum(p.counts, -1)
			delete(t.peers, name)
		case t.expiresAt.IsZero() || p.expiresAt.Before(t.expiresAt):
			t.expiresAt = p.expiresAt
		}
	}
}

// On returns the requests in flight on a server, of this instance and of its peers.
func (t *Table) On(server string, at time.Time) (online, batch int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.expire(at)
	own, reported := t.own[server], t.reported[server]

	return own.Online + reported.Online, own.Batch + reported.Batch
}

// OwnBatch returns the instance's own batch items in flight on a server.
func (t *Table) OwnBatch(server string) int {
	t.lock.Lock()
	defer t.lock.Unlock()

	return t.own[server].Batch
}

// Own returns the instance's own counts, ordered by server.
func (t *Table) Own() []gossip.Count {
	t.lock.Lock()
	defer t.lock.Unlock()
	counts := make([]gossip.Count, 0, len(t.own))
	for _, c := range t.own {
		counts = append(counts, c)
	}
	sort.Slice(counts, func(i, k int) bool { return counts[i].Server < counts[k].Server })

	return counts
}
