package instancelist

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"tarragonwalk/core/membership"
	"tarragonwalk/io/standin/faultserver"
)

// List serves a list of instances; it is safe for concurrent use.
type List struct {
	lock     sync.Mutex
	lag      time.Duration
	outage   bool
	versions []version // in order of time; the first one is served until the lag of the second one has passed
	fetched  int
	server   *faultserver.Server
}

// version is the list from the time at until the next version.
type version struct {
	at        time.Time
	instances []membership.Instance
}

// New returns an empty list that serves each change only after lag.
func New(lag time.Duration) *List {
	l := &List{
		lag:      lag,
		versions: make([]version, 1),
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/instances", l.serve)
	l.server = faultserver.New(m)

	return l
}

// Serve answers requests on n until Close, and then returns nil.
func (l *List) Serve(n net.Listener) error {
	return l.server.Serve(n)
}

// Close closes the listener and all connections.
func (l *List) Close() {
	l.server.Close()
}

// Set adds an instance or replaces the one with the same name.
func (l *List) Set(i membership.Instance) {
	l.update(func(t []membership.Instance) []membership.Instance {
		return append(remove(t, i.Name), i)
	})
}

// Remove deletes an instance.
func (l *List) Remove(name string) {
	l.update(func(t []membership.Instance) []membership.Instance { return remove(t, name) })
}

// Lag sets the time after which a change is served.
func (l *List) Lag(d time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.lag = d
}

// Outage makes all requests fail with status 503 while on.
func (l *List) Outage(on bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.outage = on
}

// Fetched returns the number of requests received, including failed ones.
func (l *List) Fetched() int {
	l.lock.Lock()
	defer l.lock.Unlock()

	return l.fetched
}

func remove(t []membership.Instance, name string) []membership.Instance {
	return slices.DeleteFunc(t, func(i membership.Instance) bool { return i.Name == name })
}

func (l *List) update(f func([]membership.Instance) []membership.Instance) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.versions = append(l.versions, version{
		at:        time.Now(),
		instances: f(slices.Clone(l.versions[len(l.versions)-1].instances)),
	})
}

func (l *List) serve(w http.ResponseWriter, _ *http.Request) {
	l.lock.Lock()
	l.fetched++
	visibleUntil := time.Now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(visibleUntil) {
		l.versions = l.versions[1:]
	}
	r := membership.InstanceList{
		Instances: append([]membership.Instance{}, l.versions[0].instances...),
	}
	outage := l.outage
	l.lock.Unlock()
	if outage {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r) // A broken connection ends the request anyway.
}
