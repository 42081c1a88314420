package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

const (
	// markLifetime is the lifetime of a leaving mark. A mark has to last until the platform's list, which lags by several
	// polls, shows the change; it ends so that a false mark does no lasting harm.
	markLifetime = 30 * time.Second
	// addressLifetime is the time after which callers request the list again, and so how long they may try an instance that
	// has left.
	addressLifetime = 30 * time.Second
)

// Table merges the platform's instance list with leaving marks from peers and backend servers.
type Table struct {
	mutex     sync.Mutex
	instances map[string]Instance
	marks     map[string]mark
}

// mark says that an instance or backend server is leaving, whatever the list says.
type mark struct {
	until         time.Time
	listedLeaving bool // the list has shown it as leaving since the mark was set
}

// New returns an empty table.
func New() *Table {
	return &Table{
		instances: map[string]Instance{},
		marks:     map[string]mark{},
	}
}

// Observe replaces the list of instances and returns those that are newly listed as leaving. A mark ends early when an instance
// that was listed as leaving is live again. An empty list is considered a failure of the platform and ignored.
func (t *Table) Observe(list []Instance, at time.Time) (leaving []string) {
	if len(list) == 0 {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before := t.instances
	t.instances = make(map[string]Instance, len(list))
	for _, in := range list {
		t.instances[in.Name] = in
		if in.State == StateLeaving && before[in.Name].State != StateLeaving {
			leaving = append(leaving, in.Name)
		}
		m, ok := t.marks[in.Name]
		switch {
		case !ok:
		case in.State == StateLeaving:
			m.listedLeaving = true
			t.marks[in.Name] = m
		case m.listedLeaving:
			delete(t.marks, in.Name)
		}
	}
	for n, m := range t.marks {
		if !at.Before(m.until.Add(markLifetime)) {
			delete(t.marks, n)
		}
	}

	return leaving
}

// MarkLeaving sets a leaving mark on first-hand evidence, such as a 503 of the server itself. It does not extend a mark that is
// in effect.
func (t *Table) MarkLeaving(name string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.marked(name, at) {
		t.mark(name, at.Add(markLifetime))
	}
}

// RelayLeaving sets a leaving mark received from a peer and reports whether it is new. A mark that has ended is remembered for
// another markLifetime, in which peers cannot set it again.
func (t *Table) RelayLeaving(name string, until, at time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m, known := t.marks[name]
	if (known && at.Before(m.until.Add(markLifetime))) || !at.Before(until) {
		return false
	}
	if last := at.Add(markLifetime); until.After(last) {
		until = last
	}
	t.mark(name, until)

	return true
}

func (t *Table) mark(name string, until time.Time) {
	t.marks[name] = mark{
		until:         until,
		listedLeaving: t.instances[name].State == StateLeaving,
	}
}

// Live returns the entry instances that are not leaving, sorted by name.
func (t *Table) Live(at time.Time) []Instance {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.live(at)
}

// Usable reports whether a backend server may get new work. One that is neither listed nor marked is usable.
func (t *Table) Usable(name string, at time.Time) bool {
	s, known := t.State(name, at)

	return !known || s == StateLive
}

// State returns the state of an instance from the list and the marks, false if it is in neither.
func (t *Table) State(name string, at time.Time) (State, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.marked(name, at) {
		return StateLeaving, true
	}
	in, ok := t.instances[name]

	return in.State, ok
}

// Addresses lists the entry instances for callers in a zone: those in the zone first, then those in its region, then the rest.
func (t *Table) Addresses(zone string, at time.Time) AddressList {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := t.live(at)
	if len(list) == 0 {
		// Marks alone must not leave callers without an address.
		list = t.listed()
	}
	region := t.region(zone)
	slices.SortFunc(list, func(a, b Instance) int {
		return cmp.Or(
			cmp.Compare(distance(a, zone, region), distance(b, zone, region)),
			cmp.Compare(rank(zone, a.Name), rank(zone, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	out := make([]Address, 0, len(list))
	for _, in := range list {
		out = append(out, Address{
			Address: in.CallerAddress,
			Name:    in.Name,
			Region:  in.Region,
			Zone:    in.Zone,
		})
	}

	return AddressList{
		Addresses: out,
		KeepUntil: at.Add(addressLifetime),
	}
}

func (t *Table) marked(name string, at time.Time) bool {
	m, ok := t.marks[name]

	return ok && at.Before(m.until)
}

func (t *Table) live(at time.Time) []Instance {
	return slices.DeleteFunc(t.listed(), func(in Instance) bool { return t.marked(in.Name, at) })
}

func (t *Table) listed() []Instance {
	out := make([]Instance, 0, len(t.instances))
	for _, in := range t.instances {
		if in.Role == RoleEntry && in.State == StateLive {
			out = append(out, in)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })

	return out
}

func (t *Table) region(zone string) string {
	for _, in := range t.instances {
		if in.Zone == zone {
			return in.Region
		}
	}

	return ""
}

func distance(in Instance, zone, region string) int {
	switch {
	case in.Zone == zone:
		return 0
	case in.Region == region:
		return 1
	default:
		return 2
	}
}

func rank(zone, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(zone + "\x00" + name))

	return h.Sum64()
}
