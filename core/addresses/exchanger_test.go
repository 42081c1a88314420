package addresses

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/isolation"
)

type object struct {
	value    json.RawMessage
	revision int64
}

// memory is a store with one revision counter; before is called before each change.
type memory struct {
	// failing is set if lists fail.
	failing  atomic.Bool
	lock     sync.Mutex
	objects  map[string]object
	revision int64
	writes   int
	lists    int
	before   func(name string) error
}

// delay makes each change take a time.
func (m *memory) delay(d time.Duration) {
	m.check(func(string) error {
		time.Sleep(d)

		return nil
	})
}

func (m *memory) check(before func(name string) error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.before = before
}

// counts returns the numbers of objects and of writes.
func (m *memory) counts() (objects, writes int) {
	m.lock.Lock()
	defer m.lock.Unlock()

	return len(m.objects), m.writes
}

// listed returns how often the objects were listed.
func (m *memory) listed() int {
	m.lock.Lock()
	defer m.lock.Unlock()

	return m.lists
}

func (m *memory) write(name string, value any, allowed func(found object, exists bool) fault.Code) (int64, error) {
	m.lock.Lock()
	before := m.before
	m.lock.Unlock()
	if before != nil {
		if err := before(name); err != nil {
			return 0, err
		}
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.writes++
	found, exists := m.objects[name]
	if code := allowed(found, exists); code != "" {
		return 0, fault.New(code, name)
	}
	m.revision++
	spec, err := json.Marshal(value)
	m.objects[name] = object{value: spec, revision: m.revision}

	return m.revision, err
}

func (m *memory) Create(_ context.Context, _, name string, value any) (int64, error) {
	return m.write(name, value, func(_ object, exists bool) fault.Code {
		if exists {
			return fault.CodeConflict
		}

		return ""
	})
}

func (m *memory) Replace(ctx context.Context, _, name string, value any, revision int64) (int64, error) {
	if ctx.Err() != nil {
		return 0, fault.Wrap(ctx.Err(), fault.CodeStoreUnavailable, name)
	}

	return m.write(name, value, func(found object, exists bool) fault.Code {
		switch {
		case !exists:
			return fault.CodeNotFound
		case found.revision != revision:
			return fault.CodeConflict
		default:
			return ""
		}
	})
}

func (m *memory) Delete(_ context.Context, _, name string) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	delete(m.objects, name)

	return nil
}

func (m *memory) Read(_ context.Context, _, name string, value any) (int64, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	o, ok := m.objects[name]
	if !ok {
		return 0, fault.New(fault.CodeNotFound, name)
	}

	return o.revision, json.Unmarshal(o.value, value)
}

func (m *memory) List(_ context.Context, _ string, each func(string, json.RawMessage, int64)) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.lists++
	if m.failing.Load() {
		return fault.New(fault.CodeStoreUnavailable, "no list")
	}
	for name, o := range m.objects {
		each(name, o.value, o.revision)
	}

	return nil
}

// node is an instance with an exchanger and a checker, which hears as much as the test says.
type node struct {
	*Exchanger
	name          string
	stop          context.CancelFunc
	lock          sync.Mutex
	watching      bool
	isolatedSince time.Time
	forgotten     bool
	// heard are the nodes that this one hears, unconfirmed those that it has forgotten.
	heard       []string
	unconfirmed map[string]time.Time
	// missing are those that are not heard and not forgotten; sought is set if one that is heard does not hear this one.
	missing []string
	sought  bool
}

func (n *node) Hears(name string) (heard bool) {
	n.set(func() { heard = slices.Contains(n.heard, name) })

	return heard
}

func (n *node) Unconfirmed() (list map[string]time.Time) {
	n.set(func() { list = maps.Clone(n.unconfirmed) })

	return list
}

func (n *node) ConfirmLost(name string, forgottenAt time.Time) {
	n.set(func() {
		if n.unconfirmed[name].Equal(forgottenAt) {
			delete(n.unconfirmed, name)
		}
	})
}

func (n *node) Missing() (list []string) {
	n.set(func() { list = slices.Concat(n.missing, slices.Collect(maps.Keys(n.unconfirmed))) })

	return list
}

// forget makes the node take others for forgotten from now on.
func (n *node) forget(names ...string) {
	n.set(func() {
		n.unconfirmed = map[string]time.Time{}
		for _, name := range names {
			n.unconfirmed[name] = time.Now()
		}
	})
}

func (n *node) Self() gossip.Member {
	return gossip.Member{Name: n.name, Peer: netip.MustParseAddrPort("10.0.0.1:9")}
}
func (*node) Introduce([]netip.AddrPort, time.Time)          {}
func (*node) Expect([]string)                                {}
func (*node) NoteFleetSize(int)                              {}
func (*node) IntroduceSeeds()                                {}
func (*node) PeerAddresses() []netip.AddrPort                { return nil }
func (*node) Reachable(context.Context, netip.AddrPort) bool { return false }
func (*node) Unheard() bool                                  { return false }
func (*node) MetMost() bool                                  { return true }
func (n *node) Sought() (sought bool)                        { n.set(func() { sought = n.sought }); return }

func (n *node) ForgetPeers(time.Time) { n.set(func() { n.forgotten = true }) }

func (n *node) Watching() (watching bool) { n.set(func() { watching = n.watching }); return }

func (n *node) Forgotten() (forgotten bool) { n.set(func() { forgotten = n.forgotten }); return }

func (n *node) Isolated() bool { _, isolated := n.IsolatedSince(); return isolated }

func (n *node) IsolatedSince() (since time.Time, isolated bool) {
	n.set(func() { since, isolated = n.isolatedSince, !n.isolatedSince.IsZero() && !n.forgotten })

	return since, isolated
}

func (n *node) set(f func()) {
	n.lock.Lock()
	defer n.lock.Unlock()
	f()
}

// isolate makes the node hear nobody, so that it takes itself for the watcher.
func (n *node) isolate() {
	n.set(func() { n.isolatedSince, n.watching = time.Now(), true })
}

func (n *node) watch(watching bool) { n.set(func() { n.watching = watching }) }

func launch(t *testing.T, m *memory, name string, watching bool) *node {
	return launchNode(t, m, &node{name: name, watching: watching})
}

func launchNode(t *testing.T, m *memory, n *node) *node {
	log := slog.New(slog.DiscardHandler)
	n.Exchanger = New(m, "kind", n, n, log)
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	ticks := time.NewTicker(100 * time.Millisecond)
	go func() {
		defer ticks.Stop()
		n.Run(ctx, ticks.C)
	}()
	go isolation.New(n, n, n, time.Now, log).Run(ctx)

	return n
}

// bubble runs a test with a fake clock and an empty store.
func bubble(t *testing.T, f func(t *testing.T, is *is.I, m *memory)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, is.New(t), &memory{objects: map[string]object{}})
	})
}

// Guards against an instance that counts as the last one because the watcher has failed right before it would have answered, while the
// next watcher takes its own turn later.
func TestWatcherFailsBeforeItsTurn(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, m *memory) {
		next := launchNode(t, m, &node{name: "b", missing: []string{"c"}})
		time.Sleep(2 * time.Second)
		first := launchNode(t, m, &node{name: "a", watching: true, missing: []string{"c"}})
		time.Sleep(100 * time.Millisecond)
		asking := launch(t, m, "c", false)
		asking.isolate()
		time.Sleep(29 * time.Second)
		first.stop()
		time.Sleep(time.Second)
		next.watch(true)
		time.Sleep(5 * time.Minute)
		is.True(!asking.Forgotten())
		next.stop()
		time.Sleep(2 * time.Minute)
		is.True(asking.Forgotten())
		asking.stop()
	})
}

// Guards against an instance that counts as the last one because an answer to it could not be written at the first attempt.
func TestFailedAnswer(t *testing.T) {
	for _, code := range []fault.Code{fault.CodeStoreUnavailable, fault.CodeConflict} {
		bubble(t, func(t *testing.T, is *is.I, m *memory) {
			watcher := launch(t, m, "a", true)
			asking := launch(t, m, "c", false)
			time.Sleep(6 * time.Second)
			begin := time.Now()
			asking.isolate()
			m.check(func(name string) error {
				if s := time.Since(begin); name == "c" && s > 10*time.Second && s < 25*time.Second {
					return fault.New(code, "no write")
				}

				return nil
			})
			time.Sleep(28 * time.Second)
			var found record
			_, err := m.Read(t.Context(), "kind", "c", &found)
			is.NoErr(err)
			is.True(found.Question == "")
			watcher.stop()
			asking.stop()
		})
	}
}

// Guards against questions that get no answer in time because there are many others.
func TestManyQuestions(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, m *memory) {
		watcher := launch(t, m, "a", true)
		time.Sleep(6 * time.Second)
		for n := range 60 {
			_, err := m.Create(t.Context(), "kind", fmt.Sprint("c-", n), record{Peer: watcher.Self().Peer, Question: "q"})
			is.NoErr(err)
		}
		m.delay(time.Second)
		time.Sleep(40 * time.Second)
		open := 0
		is.NoErr(m.List(t.Context(), "kind", func(_ string, value json.RawMessage, _ int64) {
			var r record
			if is.NoErr(json.Unmarshal(value, &r)); r.Question != "" {
				open++
			}
		}))
		is.Equal(open, 0)
		watcher.stop()
	})
}

// Guards against instances that are isolated at the same time and answer each other, which would exceed the store's rate of writes, or
// take each other for lost.
func TestAllIsolatedAtOnce(t *testing.T) {
	for _, apart := range []time.Duration{0, 30 * time.Millisecond, 7 * time.Second} {
		bubble(t, func(t *testing.T, is *is.I, m *memory) {
			const size = 20
			m.delay(50 * time.Millisecond)
			var all []*node
			for n := range size {
				all = append(all, launch(t, m, fmt.Sprint("n-", n), n == 0))
				time.Sleep(apart)
			}
			time.Sleep(time.Minute)
			for _, n := range all {
				n.isolate()
			}
			_, before := m.counts()
			time.Sleep(10 * time.Minute)
			_, after := m.counts()
			is.True(after-before <= size*10*60/7) // one write of each in 7 s
			for _, n := range all {
				is.True(!n.Forgotten())
			}
			for _, n := range all[1:] {
				n.stop()
			}
			time.Sleep(2 * time.Minute)
			is.True(all[0].Forgotten())
			all[0].stop()
		})
	}
}

// Guards against a lone process that waits for instances that have left, since their addresses stay in the store, or that is not listed
// because its former process has left.
func TestLeave(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, m *memory) {
		listed := func() int {
			objects, _ := m.counts()

			return objects
		}
		n := launch(t, m, "a", true)
		time.Sleep(time.Second)
		is.Equal(listed(), 1)
		m.delay(time.Second)
		is.NoErr(m.Delete(t.Context(), "kind", "a"))
		go func() { _ = n.Ask(t.Context()) }() // an isolated instance asks while it stops, and creates its object again
		time.Sleep(100 * time.Millisecond)
		n.Leave(t.Context())
		is.Equal(listed(), 0)
		is.True(n.Ask(t.Context()) != nil)
		time.Sleep(5 * time.Minute)
		is.Equal(listed(), 0)
		n.stop()
		next := launch(t, m, "a", true)
		time.Sleep(2 * time.Second)
		is.Equal(listed(), 1)
		next.stop()
	})
}

// Guards against an instance that takes a group of others for lost, although they are only cut off from it and still take over its jobs;
// and against one that suspects that for good, or reads the store all the time, because of lost instances that stay in the list.
func TestForgottenGroup(t *testing.T) {
	for _, c := range []struct {
		name string
		// mutual is set if the other group has forgotten this one as well.
		mutual bool
		// failing is the name of an object that cannot be written for some time in each minute.
		failing string
	}{
		{"both ways", true, ""},
		{"one way", false, ""},
		{"failing answers", true, "d"},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, m *memory) {
				var all []*node
				for n, name := range []string{"a", "b", "c", "d", "e"} {
					all = append(all, launch(t, m, name, n%2 == 0 && n < 4))
				}
				a, b, others := all[0], all[1], all[2:]
				for _, n := range others {
					n.set(func() { n.heard = []string{"c", "d", "e"} })
				}
				time.Sleep(5 * time.Second)
				begin := time.Now()
				m.check(func(name string) error {
					if s := time.Since(begin) % time.Minute; name == c.failing && s < 15*time.Second {
						return fault.New(fault.CodeStoreUnavailable, "no write")
					}

					return nil
				})
				for _, n := range all[:2] {
					n.set(func() { n.heard = []string{"a", "b"} })
					n.forget("c", "d", "e")
				}
				for _, n := range others {
					if c.mutual {
						n.forget("a", "b")
					} else {
						n.set(func() { n.sought = true })
					}
				}
				for range 20 {
					time.Sleep(30 * time.Second)
					is.Equal(len(a.Unconfirmed()), 3)
					is.Equal(len(b.Unconfirmed()), 3)
				}
				_, writes := m.counts()
				is.True(writes < 10*5*4) // a doubt and its answer for each of five nodes in a minute, and what fails
				for _, n := range others {
					n.stop()
				}
				time.Sleep(3*time.Minute + 30*time.Second)
				is.Equal(len(a.Unconfirmed()), 0)
				is.Equal(len(b.Unconfirmed()), 0)
				lists := m.listed()
				time.Sleep(10 * time.Minute)
				is.True(m.listed()-lists <= 21) // those of the watcher
				a.stop()
				b.stop()
			})
		})
	}
}

// Guards against many store calls of a large fleet that has lost some of its instances for good, and against an instance that is taken
// for lost since it was doubted before it came back.
func TestLostInstances(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, m *memory) {
		var all []*node
		var lost []string
		for n := range 40 {
			all = append(all, launch(t, m, fmt.Sprint("n-", n), n < 3))
		}
		time.Sleep(45 * time.Second)
		for _, n := range all[30:] {
			n.stop()
			lost = append(lost, n.name)
		}
		lists := m.listed()
		_, writes := m.counts()
		for _, n := range all[:30] {
			n.forget(lost...)
		}
		time.Sleep(90 * time.Second)
		for _, n := range all[:30] {
			is.Equal(len(n.Unconfirmed()), 0)
		}
		is.True(m.listed()-lists <= 30*3+9)
		_, after := m.counts()
		is.True(after-writes <= 10*3) // each watcher tries to doubt each
		back := launchNode(t, m, &node{name: lost[0], watching: true, missing: []string{all[6].name}})
		time.Sleep(30 * time.Second)
		all[5].forget(lost[0], lost[1])
		time.Sleep(50 * time.Second)
		is.Equal(slices.Collect(maps.Keys(all[5].Unconfirmed())), lost[:1])
		back.stop()
		for _, n := range all {
			n.stop()
		}
	})
}

// Guards against an isolated instance that takes itself for the last one though another one has doubted it in the store, and against one that
// expects to be looked for after that.
func TestDoubtAnswersQuestion(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, m *memory) {
		n := launch(t, m, "a", true)
		time.Sleep(time.Second + 50*time.Millisecond) // between two ticks
		is.True(n.Expected())
		is.NoErr(n.Ask(t.Context()))
		answered, err := n.Answered(t.Context())
		is.NoErr(err)
		is.True(!answered)
		var found record
		revision, err := m.Read(t.Context(), "kind", "a", &found)
		is.NoErr(err)
		found.Doubted = true
		_, err = m.Replace(t.Context(), "kind", "a", found, revision)
		is.NoErr(err)
		answered, err = n.Answered(t.Context())
		is.NoErr(err)
		is.True(answered)
		is.True(!n.Expected())
		n.stop()
	})
}

// Guards against a watcher that lists the addresses without a pause while the store fails and an instance is missing.
func TestLooksPauseAfterFailure(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, m *memory) {
		b := netip.MustParseAddrPort("10.0.0.2:9")
		_, err := m.Create(t.Context(), "kind", "b", record{Peer: b})
		is.NoErr(err)
		n := launchNode(t, m, &node{name: "a", watching: true, missing: []string{"b"}})
		time.Sleep(time.Second)
		before := m.listed()
		time.Sleep(2 * lookPause)
		is.Equal(m.listed()-before, 2)
		m.failing.Store(true)
		before = m.listed()
		const during = 10 * time.Second
		time.Sleep(during)
		is.True(m.listed()-before <= int(during/retryPause)+1)
		n.stop()
	})
}
