package quarantine

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/internal/fakeobjects"
)

const crashing = "crashing"

// fleet simulates instances, backend servers and requests; time passes in steps.
type fleet struct {
	random    *rand.Rand
	at        time.Time
	objects   *fakeobjects.Store
	instances []*Quarantine
	servers   []simServer
	requests  []request
	crashes   int
	// sent counts the requests, without repeats.
	sent int
	// last are the parts of the request that crashed a server last.
	last    []string
	fifthAt time.Time
	// resets is how many of a grey server's answers are lost.
	resets float64
	// grey is how many of the servers lose answers, as one in so many.
	grey int
	// alike is how many crashing requests have the same other parts.
	alike  int
	failed []string
	// touchedAt is when each instance was last restarted.
	touchedAt []time.Time
	// late counts requests with the crashing part that reached a server later than stable after its fifth crash, sent by instances in touch.
	late int
}

// stable is the time after the fifth crash, and after a disruption of an instance, from which no crashing requests may reach servers.
const stable = 4 * time.Second

type simServer struct {
	backend.Server
	backAt time.Time
}

// request is in flight; it is unanswered until begunAt.
type request struct {
	prompt           string
	parts            []string
	instance, server int
	sentAt           time.Time
	begunAt, endsAt  time.Time
	retried          bool
}

const step = 20 * time.Millisecond

func newFleet(seed uint64, instances, servers int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), at: time.Unix(1_000_000, 0), objects: fakeobjects.New(), grey: 4}
	for n := range servers {
		f.servers = append(f.servers, simServer{Server: backend.Server{ID: fmt.Sprint("s", n), StartedAt: 1}})
	}
	for range instances {
		f.instances = append(f.instances, f.newInstance())
	}
	f.touchedAt = make([]time.Time, instances)

	return f
}

func (f *fleet) restart(instance int) {
	f.instances[instance], f.touchedAt[instance] = f.newInstance(), f.at
}

func (f *fleet) newInstance() *Quarantine {
	return New(f.objects, func() time.Time { return f.at }, slog.New(slog.DiscardHandler))
}

func (f *fleet) send(instance int, prompt string, parts []string, retried bool) {
	s := f.random.IntN(len(f.servers))
	if _, _, ok := f.instances[instance].Quarantined(parts); ok || f.at.Before(f.servers[s].backAt) {
		return
	}
	if slices.Contains(parts, crashing) && !f.fifthAt.IsZero() && f.at.Sub(f.fifthAt) > stable && f.at.Sub(f.touchedAt[instance]) > stable {
		f.late++
	}
	begunAt := f.at.Add(time.Duration(20+f.random.IntN(150)) * time.Millisecond)
	f.requests = append(f.requests, request{
		prompt: prompt, parts: parts, instance: instance, server: s, retried: retried, sentAt: f.at,
		begunAt: begunAt, endsAt: begunAt.Add(time.Duration(f.random.IntN(1000)) * time.Millisecond),
	})
}

func (f *fleet) lose(r request) {
	q := f.instances[r.instance]
	if f.at.After(r.begunAt) && !slices.Contains(r.parts, crashing) {
		return
	}
	q.RecordLoss(f.servers[r.server].Server, r.prompt, r.parts, f.at)
	f.announce(r.instance) // counts in flight have changed
	if !r.retried && q.MayRetry(r.parts) {
		f.send(r.instance, r.prompt, r.parts, true)
	}
}

func (f *fleet) crash(server int) {
	lost := f.requests
	f.requests = nil
	for _, r := range lost {
		if r.server != server {
			f.requests = append(f.requests, r)
		}
	}
	was := f.servers[server].Server
	f.servers[server].backAt = f.at.Add(3 * time.Second)
	for _, r := range lost {
		if r.server == server {
			f.lose(r)
		}
	}
	was.StartedAt++
	f.servers[server].Server = was
}

// run lets time pass, with sound requests on common and on rare parts, and with as many crashing ones a second at random instances.
func (f *fleet) run(d time.Duration, crashingRate float64) {
	for end := f.at.Add(d); f.at.Before(end); f.at = f.at.Add(step) {
		first := fmt.Sprint("first", f.random.IntN(10))
		f.sent++
		f.send(f.random.IntN(len(f.instances)), fmt.Sprint(f.sent), []string{first, fmt.Sprint("rare", f.random.IntN(400))}, false)
		if f.random.Float64() < crashingRate*step.Seconds() {
			f.sent++
			f.send(f.random.IntN(len(f.instances)), fmt.Sprint(f.sent), []string{first, crashing, fmt.Sprint("rare", 390+f.crashes/max(1, f.alike))}, false)
		}
		f.finish()
		for n, q := range f.instances {
			q.Review()
			if f.random.IntN(10) == 0 {
				f.announce(n)
			}
			for part := range q.quarantined {
				if part != crashing && !slices.Contains(f.failed, part) {
					f.failed = append(f.failed, part)
				}
			}
		}
	}
}

func (f *fleet) announce(from int) {
	b := &gossip.Heartbeat{Sender: gossip.Member{Name: fmt.Sprint(from), Incarnation: fmt.Sprintf("%p", f.instances[from])}}
	f.instances[from].FillHeartbeat(b)
	for n, q := range f.instances {
		if n != from && f.random.IntN(10) > 0 {
			q.ObserveHeartbeat(b, f.at)
		}
	}
}

func (f *fleet) finish() {
	for _, r := range slices.Clone(f.requests) {
		i := slices.IndexFunc(f.requests, func(o request) bool {
			return o.begunAt.Equal(r.begunAt) && o.endsAt.Equal(r.endsAt) && o.server == r.server
		})
		if i < 0 {
			continue
		}
		switch s, q := f.servers[r.server].Server, f.instances[r.instance]; {
		case f.at.Before(r.begunAt):
		case slices.Contains(r.parts, crashing):
			f.crash(r.server)
			f.last = r.parts
			if f.crashes++; f.crashes == 5 {
				f.fifthAt = f.at
			}
		case r.server%f.grey == 0 && f.at.Sub(r.begunAt) < step && f.random.Float64() < f.resets:
			f.requests = slices.Delete(f.requests, i, i+1)
			f.lose(request{prompt: r.prompt, parts: r.parts, instance: r.instance, server: r.server, retried: r.retried, begunAt: f.at})
		case f.at.Before(r.endsAt):
			q.RecordProgress(s, r.sentAt, f.at)
		default:
			f.requests = slices.Delete(f.requests, i, i+1)
			q.RecordAnswer(s, r.parts, r.sentAt, f.at)
		}
	}
}

// knows reports whether all instances refuse requests with the crashing part, whatever else they hold but for the given parts.
func (f *fleet) knows(with ...string) bool {
	return !slices.ContainsFunc(f.instances, func(q *Quarantine) bool {
		_, _, ok := q.Quarantined(append(with, crashing))

		return !ok
	})
}

// Guards against a prompt part that crashes one backend server after the other, though each crash is seen by another instance and
// instances restart, and against sound parts of the same requests or servers that are refused.
func TestCrashingPartAlone(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		f := newFleet(seed, 1+int(seed%9), 15)
		f.alike = int(seed % 7)
		f.run(3*time.Second, 0)
		rate := []float64{0.5, 2, 6}[seed%3]
		for f.fifthAt.IsZero() && !f.knows() && f.at.Sub(time.Unix(1_000_000, 0)) < time.Minute {
			f.run(200*time.Millisecond, rate)
			if f.random.IntN(25) == 0 && len(f.instances) > 2 {
				f.restart(f.random.IntN(len(f.instances)))
			}
		}
		f.run(1200*time.Millisecond, rate)
		is.True(f.knows(f.last...))
		before := f.crashes
		f.run(20*time.Second, rate)
		is.True(f.knows(f.last...))
		is.True(f.alike > 1 || f.knows())
		is.True(f.crashes <= before+3) // a further one shows which of two parts that always came together it is; others are under way
		is.True(f.alike > 1 || f.crashes == before)
		is.Equal(f.failed, nil)
	}
}

// Guards against sound parts that are quarantined on days on which servers reset connections or crash together for reasons of their own.
func TestSoundPartsOnOtherTroubles(t *testing.T) {
	for seed := range uint64(24) {
		f := newFleet(seed, 6, 16)
		f.resets = []float64{0, 0.1, 0.4}[seed%3]
		for range 4 {
			f.run(4*time.Second, 0)
			for n := range f.servers {
				if f.random.Float64() < 0.4 {
					f.crash(n)
				}
				if seed%2 == 0 {
					f.run(2*step, 0) // one after the other
				}
			}
		}
		is.New(t).Equal(f.failed, nil)
	}
}

// Guards against a quarantine that is forgotten when all instances restart, even during an outage of the store, that never ends, or
// that begins again without new crashes.
func TestQuarantineSurvivesRestartsUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 8)
	f.objects.FailNext(partKind, fault.CodeStoreUnavailable)
	for !f.knows() {
		f.run(time.Second, 3)
	}
	q := f.instances[0]
	is.True(q.Save(t.Context(), true) != nil)
	is.NoErr(q.Save(t.Context(), true))
	_, until, _ := q.Quarantined([]string{crashing})
	for n := range f.instances {
		f.instances[n] = f.newInstance()
	}
	is.NoErr(f.instances[2].Restore(t.Context()))
	f.run(time.Second, 0)
	is.True(f.knows())
	_, restored, _ := f.instances[2].Quarantined([]string{crashing})
	is.True(restored.Equal(until))
	f.at = until
	f.run(time.Second, 0)
	is.Equal(slices.Collect(maps.Keys(f.instances[0].quarantined)), nil)
	is.NoErr(f.instances[2].Save(t.Context(), true))
	is.NoErr(f.newInstance().Restore(t.Context()))
	is.True(f.newInstance().MayRetry([]string{crashing}))
}

// Guards against a combination of parts that is forgotten when all instances restart, or that outlives the proof which part it is.
func TestCombinationSurvivesRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 0)
	both := []string{"with", crashing}
	blocked := func(parts ...string) bool {
		_, _, ok := f.instances[0].Quarantined(parts)

		return ok
	}
	for n := range 3 {
		f.instances[0].RecordLoss(backend.Server{ID: fmt.Sprint(n)}, "", both, f.at)
		f.at = f.at.Add(settleTime)
	}
	f.instances[0].Review()
	is.True(blocked(both...) && !blocked("with") && !blocked(crashing))
	is.NoErr(f.instances[0].Save(t.Context(), false))
	f.instances[0] = f.newInstance()
	is.NoErr(f.instances[0].Restore(t.Context()))
	is.True(blocked(both...) && !blocked("with") && !blocked(crashing))
	f.instances[0].RecordAnswer(backend.Server{ID: "x"}, []string{"with"}, f.at, f.at)
	is.True(blocked(both...) && !blocked("with") && blocked(crashing))
	f.at = f.at.Add(evidenceLife)
	f.instances[0].Review()
	is.NoErr(f.instances[0].Save(t.Context(), false))
	is.True(!blocked(both...))
	is.NoErr(f.objects.List(t.Context(), partKind, func(name string, _ json.RawMessage, _ int64) { t.Error(name, "is left") }))
}

// Guards against a sound part that stays in quarantine although one of its requests has completed since.
func TestCompletionReleases(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 2, 8)
	for !f.knows() {
		f.run(time.Second, 3)
	}
	f.instances[1].RecordAnswer(f.servers[0].Server, []string{crashing}, f.at, f.at)
	f.run(time.Second, 0)
	is.Equal(len(f.instances[0].quarantined)+len(f.instances[1].quarantined), 0)
}

// Guards against a part that goes on crashing servers while all of them reset many connections, since a sign of life of a server
// before its crash, or one that comes late, withdraws the crash.
func TestCrashingPartBesideResets(t *testing.T) {
	for _, seed := range []uint64{18, 21, 39} {
		f := newFleet(seed, 2+int(seed%7), 15)
		f.alike, f.grey, f.resets = int(seed%4), 1, 0.3
		f.run(3*time.Second, 0)
		f.run(50*time.Second, 0.3)
		is := is.New(t)
		is.True(f.late <= 3)
		is.Equal(f.failed, nil)
	}
}

// Guards against a crash that is withdrawn because its server had lived a moment before, as this instance or another one has seen.
func TestSignOfLifeBeforeCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 2, 0)
	for n := range 3 {
		s := backend.Server{ID: fmt.Sprint("s", n)}
		with := fmt.Sprint("with", n)
		f.instances[0].RecordLoss(s, "", []string{with}, f.at) // a reset
		f.announce(0)
		sentAt := f.at.Add(step)
		f.at = f.at.Add(3 * step)
		f.instances[1].RecordProgress(s, sentAt, f.at)
		f.announce(1)
		f.at = f.at.Add(step)
		f.instances[n%2].RecordLoss(s, "", []string{crashing, fmt.Sprint("other", n)}, f.at)
		f.instances[n%2].RecordProgress(s, sentAt, f.at.Add(step)) // was on the way
		for range 40 {
			f.announce(0)
			f.announce(1)
			f.at = f.at.Add(step)
		}
	}
	f.instances[0].Review()
	f.instances[1].Review()
	is.True(f.knows())
}

// Guards against a sound part that is quarantined at once because, after it came with the crashing one each time, one of its requests
// was reset by a server that lives.
func TestResetConvictsNoSoundPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 0)
	q := f.instances[0]
	for n := range 3 {
		q.RecordLoss(backend.Server{ID: fmt.Sprint("crashed", n)}, "", []string{"with", crashing}, f.at)
		f.at = f.at.Add(2 * settleTime)
	}
	s := backend.Server{ID: "lives"}
	q.RecordLoss(s, "", []string{"with"}, f.at)
	f.at = f.at.Add(step)
	q.Review()
	q.RecordProgress(s, f.at, f.at.Add(step))
	f.at = f.at.Add(2 * settleTime)
	q.Review()
	_, _, alone := q.Quarantined([]string{"with"})
	is.True(!alone)
	is.True(f.knows("with"))
}

// Guards against instances that spend their processor time on decisions while servers reset connections in a large fleet: each lost
// connection is announced to all instances, and so is that its server lives.
func TestDecisionsOnAnnouncedEvidenceAreFew(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 0)
	q := f.instances[0]
	decided := 0
	for n := range 250 { // 2.5 s
		f.at = f.at.Add(10 * time.Millisecond)
		before := q.judgedAt
		q.ObserveHeartbeat(&gossip.Heartbeat{
			Sender: gossip.Member{Name: "other", Incarnation: "1"},
			Crashes: []gossip.Crash{
				{Server: fmt.Sprint("s", n), Parts: []string{"sound", fmt.Sprint("rare", n)}},
				{Server: fmt.Sprint("s", n-1), Answered: true},
			},
		}, f.at)
		if n%10 == 0 {
			q.Review()
		}
		if q.judgedAt.After(before) {
			decided++
		}
	}
	is.True(decided > 20)
	is.True(decided <= 26)
}

// Guards against evidence that is forgotten because other servers reset many connections between two crashes under a part.
func TestEvidenceOutlivesResets(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 0)
	q := f.instances[0]
	for n := range 3 {
		q.RecordLoss(backend.Server{ID: fmt.Sprint("crashed", n)}, "", []string{crashing, fmt.Sprint("with", n)}, f.at)
		for i := range 2 * maxCrashes {
			alive := backend.Server{ID: fmt.Sprint("alive", i)}
			q.RecordLoss(alive, "", []string{"sound", fmt.Sprint("rare", n, i)}, f.at)
			f.at = f.at.Add(step)
			q.RecordAnswer(alive, []string{"sound"}, f.at, f.at)
		}
		f.at = f.at.Add(settleTime)
	}
	q.Review()
	is.True(f.knows())
}

// Guards against heartbeats and memory that grow with the number of crashes and parts, and heartbeats that carry old news.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	q := f.instances[0]
	for n := range 1000 {
		parts := make([]string, 100)
		for i := range parts {
			parts[i] = fmt.Sprint("p", n, "-", i)
		}
		q.RecordLoss(backend.Server{ID: fmt.Sprint(n)}, "", parts, f.at)
		q.RecordAnswer(backend.Server{ID: "x"}, parts[:90], f.at, f.at)
	}
	b := &gossip.Heartbeat{}
	q.FillHeartbeat(b)
	is.Equal(len(b.Crashes), maxAnnounced)
	is.True(len(b.Crashes[0].Parts) <= maxParts && len(b.SoundParts) <= maxAnnouncedParts && len(q.crashes) <= maxCrashes)
	f.at = f.at.Add(announceLife)
	b = &gossip.Heartbeat{}
	q.FillHeartbeat(b)
	is.Equal(len(b.Crashes)+len(b.SoundParts)+len(b.QuarantinedParts), 0)
}

// Guards against a sound part that is quarantined in a wave of crashes because none of its requests, which take long, has completed: a
// first event shows as well that its server has survived the prompt.
func TestFirstEventsClearPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 2, 0)
	for n := range 6 {
		f.instances[0].RecordAnswer(backend.Server{ID: "lives"}, []string{"shared"}, f.at, f.at.Add(step))
		f.instances[1].RecordLoss(backend.Server{ID: fmt.Sprint(n)}, "", []string{"shared"}, f.at)
		for range 30 {
			f.announce(0)
			f.announce(1)
			f.at = f.at.Add(step)
		}
	}
	for _, q := range f.instances {
		q.Review()
		_, _, held := q.Quarantined([]string{"shared"})
		is.True(!held)
	}
}

// Guards against a sound part that is quarantined because one request with it and its repeats met three crashes of a wave.
func TestRepeatsOfOneRequestConvictNoPart(t *testing.T) {
	for _, c := range []struct {
		name    string
		prompts []string
		held    bool
	}{
		{"one request", []string{"a", "a", "a"}, false},
		{"two requests", []string{"a", "a", "b"}, true},
		{"requests that are not known", []string{"", "", ""}, true},
		{"one request and five crashes", []string{"a", "a", "a", "a", "a"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 2, 0)
			for n, prompt := range c.prompts {
				f.instances[n%2].RecordLoss(backend.Server{ID: fmt.Sprint(n)}, prompt, []string{"shared"}, f.at)
				for range 15 {
					f.announce(0)
					f.announce(1)
					f.at = f.at.Add(step)
				}
			}
			for _, q := range f.instances {
				f.at = f.at.Add(settleTime)
				q.Review()
				_, _, held := q.Quarantined([]string{"shared"})
				is.Equal(held, c.held)
			}
		})
	}
}
