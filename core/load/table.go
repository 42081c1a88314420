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
	lock    sync.Mutex
	own     map[string]gossip.Count
	peers   map[string]report
	changed chan struct{}
}

// New returns an empty table.
func New() *Table {
	return &Table{
		own:     map[string]gossip.Count{},
		peers:   map[string]report{},
		changed: make(chan struct{}, 1),
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
	t.peers[peer] = report{
		counts:    m,
		expiresAt: at.Add(reportLife),
	}
}

// On returns the requests in flight on a server, of this instance and of its peers.
func (t *Table) On(server string, at time.Time) (online, batch int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	c := t.own[server]
	online, batch = c.Online, c.Batch
	for name, p := range t.peers {
		if at.After(p.expiresAt) {
			delete(t.peers, name)

			continue
		}
		c := p.counts[server]
		online += c.Online
		batch += c.Batch
	}

	return online, batch
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
