package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func entry(name, zone, region string, s State) Instance {
	return Instance{Name: name, Zone: zone, Region: region, Role: RoleEntry, State: s}
}

// Guards against a leaving mark that is undone by a lagging list or never ends.
func TestMarks(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name   string
		lists  []State
		after  time.Duration
		usable bool
	}{
		{name: "list lags", lists: []State{StateLive, StateLive}, after: 29 * time.Second, usable: false},
		{name: "mark ends", lists: []State{StateLive}, after: 30 * time.Second, usable: true},
		{name: "replaced", lists: []State{StateLeaving, StateLive}, after: 3 * time.Second, usable: true},
		{name: "listed leaving", lists: []State{StateLeaving}, after: time.Minute, usable: false},
		{name: "not in the list", after: time.Second, usable: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			is.True(table.Usable("b", start)) // known to the configuration only
			table.MarkLeaving("b", start)
			for _, s := range c.lists {
				table.Observe([]Instance{{Name: "b", Role: RoleBackend, State: s}}, start.Add(time.Second))
				table.MarkLeaving("x", start)
			}
			is.Equal(table.Usable("b", start.Add(c.after)), c.usable)
		})
	}
}

// Guards against repeated evidence that extends a mark forever, and against an empty list that empties the table.
func TestBounds(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	table := New()
	table.Observe([]Instance{entry("a", "z1", "r1", StateLive)}, start)
	for i := range 30 {
		table.MarkLeaving("a", start.Add(time.Duration(i)*time.Second))
		table.Observe(nil, start)
	}
	is.Equal(len(table.Live(start.Add(29*time.Second))), 0)
	is.Equal(len(table.Addresses("z1", start.Add(29*time.Second)).Addresses), 1) // marks alone do not empty the answer
	is.Equal(len(table.Live(start.Add(30*time.Second))), 1)
}

// Guards against sending callers to a leaving or distant instance first.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	table := New()
	table.Observe([]Instance{
		entry("far", "z3", "r2", StateLive),
		entry("near", "z2", "r1", StateLive),
		entry("own", "z1", "r1", StateLive),
		entry("gone", "z1", "r1", StateLeaving),
		{Name: "w", Zone: "z1", Region: "r1", Role: RoleBackend, State: StateLive},
	}, start)
	list := table.Addresses("z1", start)
	var names []string
	for _, a := range list.Addresses {
		names = append(names, a.Name)
	}
	is.Equal(names, []string{"own", "near", "far"})
	is.Equal(list.KeepUntil, start.Add(30*time.Second))
	is.Equal(table.Addresses("z1", start), list) // stable order
}

// Guards against peers renewing each other's mark forever, and against a relayed mark that outlasts its end.
func TestRelayedMarks(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	tables := []*Table{New(), New()}
	tables[0].MarkLeaving("b", start)
	ends := start.Add(markLifetime)
	for i := range 200 {
		at := start.Add(time.Duration(i) * time.Second)
		for k, table := range tables {
			// Each hop adds a second, as a message that was delayed does.
			if until := ends.Add(time.Duration(i) * time.Second); table.Usable("b", at) == false {
				tables[1-k].RelayLeaving("b", until, at)
			}
		}
	}
	for _, table := range tables {
		is.True(table.Usable("b", start.Add(2*markLifetime)))
	}
	is.True(!tables[0].RelayLeaving("c", start, start))
	is.True(tables[0].RelayLeaving("c", start.Add(time.Hour), start))
	is.True(tables[0].Usable("c", start.Add(markLifetime)))
	is.True(!tables[0].RelayLeaving("c", start.Add(40*time.Second), start.Add(31*time.Second)))
	is.Equal(tables[0].Observe([]Instance{{Name: "d", State: StateLeaving}}, start), []string{"d"})
	is.Equal(len(tables[0].Observe([]Instance{{Name: "d", State: StateLeaving}}, start)), 0)
}
