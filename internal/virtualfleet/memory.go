package virtualfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/work"
)

const (
	// lateLimit is the longest time until a write takes effect whose answer is lost.
	lateLimit = 6 * time.Second
	// storeDelay is the longest delay of a call in each direction, unless it is set.
	storeDelay = 5 * time.Millisecond
	// answerTimeout is how long an instance waits for the answer of the store.
	answerTimeout = time.Second
	// refusalPause is the pause after a call that the store has refused.
	refusalPause = 250 * time.Millisecond
	segmentKind  = "job-results"
)

type object struct {
	value    []byte
	revision int64
}

// memory is the store; the fleet's lock guards the shares of faulty writes.
type memory struct {
	lost, late float64
	delay      time.Duration
	// lock guards the fields below.
	lock     sync.Mutex
	objects  map[string]object
	revision int64
	// items are those that are listed.
	items map[string]bool
	// calls counts calls by purpose.
	calls map[string]int
}

func newMemory() *memory {
	return &memory{
		objects: map[string]object{},
		items:   map[string]bool{},
		calls:   map[string]int{},
		delay:   storeDelay,
	}
}

// write changes an object if it has a revision, 0 if it must not exist.
func (m *memory) write(kind, name string, value []byte, revision int64) (int64, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	key := kind + "/" + name
	found, exists := m.objects[key]
	switch {
	case revision != 0 && !exists:
		return 0, fault.New(fault.CodeNotFound, key)
	case found.revision != revision:
		return 0, fault.New(fault.CodeConflict, key)
	}
	m.revision++
	m.objects[key] = object{
		value:    value,
		revision: m.revision,
	}
	if kind == segmentKind {
		s := work.Segment{}
		if json.Unmarshal(value, &s) == nil {
			for _, r := range s.Results {
				m.items[r.Item] = true
			}
		}
	}

	return m.revision, nil
}

func (m *memory) count(purpose string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.calls[purpose]++
}

func (m *memory) isListed(item string) bool {
	m.lock.Lock()
	defer m.lock.Unlock()

	return m.items[item]
}

func (m *memory) listed(id string) (list []work.Result) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for {
		s := work.Segment{}
		o, ok := m.objects[fmt.Sprintf("%s/%s.%06d", segmentKind, id, len(list))]
		if !ok || json.Unmarshal(o.value, &s) != nil || len(s.Results) == 0 {
			return list
		}
		list = append(list, s.Results...)
	}
}

// fate is what becomes of a call to the store.
type fate int

const (
	answered fate = iota
	refused
	// answerLost is a call that was carried out, callLost one that was not, and carriedOutLate one that will be.
	answerLost
	callLost
	carriedOutLate
)

func (p *process) fate(write bool) (fate, time.Duration) {
	f := p.instance.fleet
	f.lock.Lock()
	defer f.lock.Unlock()
	delay := time.Duration(f.random.Int64N(int64(f.store.delay) + 1))
	x := f.random.Float64()
	switch {
	case p.instance.withoutStore > 0:
		return refused, delay
	case x < f.store.late && write:
		return carriedOutLate, time.Duration(f.random.Int64N(int64(lateLimit)))
	case x < f.store.late+f.store.lost && f.random.IntN(2) == 0:
		return callLost, delay
	case x < f.store.late+f.store.lost:
		return answerLost, delay
	default:
		return answered, delay
	}
}

// call makes a call to the store like platform/store: what was refused is repeated until ctx ends. A process that is frozen after it has
// looked at ctx sends the call all the same.
func (p *process) call(ctx context.Context, write string, do func() (int64, error)) (int64, error) {
	unavailable := fault.New(fault.CodeStoreUnavailable, "the store cannot be reached")
	unknown := fault.New(fault.CodeOutcomeUnknown, "the store did not answer")
	for {
		if !p.maySend(ctx, write) {
			return 0, unavailable
		}
		p.instance.fleet.store.count(purpose.Of(ctx))
		what, delay := p.fate(write != "")
		p.storeLost.Store(what != answered)
		switch what {
		case answered:
			time.Sleep(delay)
			revision, err := do()
			time.Sleep(delay)
			p.pass()
			if ctx.Err() != nil && write != "" {
				return 0, unknown
			}
			if ctx.Err() != nil {
				return 0, unavailable
			}

			return revision, err
		case answerLost, carriedOutLate:
			p.instance.fleet.tasks.Go(func() {
				time.Sleep(delay)
				_, _ = do()
			})
		case refused, callLost:
		}
		pause := answerTimeout
		if what == refused {
			pause = refusalPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		p.pass()
		if what != refused && write != "" {
			return 0, unknown
		}
		if _, bounded := ctx.Deadline(); !bounded {
			return 0, unavailable
		}
	}
}

// maySend reports whether a call may be sent: ctx is not over and the process is alive, also after it has been frozen in between.
func (p *process) maySend(ctx context.Context, write string) bool {
	if ctx.Err() != nil || p.ctx.Err() != nil {
		return false
	}
	if write != "" {
		p.freezeAtWrite(write)
	}
	p.pass()

	return p.ctx.Err() == nil
}

// Create implements the store of the core packages.
func (p *process) Create(ctx context.Context, kind, name string, value any) (int64, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, fault.Wrap(err, fault.CodeInternal, "cannot encode")
	}

	return p.call(ctx, kind, func() (int64, error) { return p.instance.fleet.store.write(kind, name, encoded, 0) })
}

// Replace implements the store of the core packages. After a lost answer it repeats the call.
func (p *process) Replace(ctx context.Context, kind, name string, value any, revision int64) (int64, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, fault.Wrap(err, fault.CodeInternal, "cannot encode")
	}
	for {
		changed, err := p.call(ctx, kind, func() (int64, error) { return p.instance.fleet.store.write(kind, name, encoded, revision) })
		switch fault.CodeOf(err) {
		case fault.CodeConflict:
			var found json.RawMessage
			if at, readErr := p.Read(ctx, kind, name, &found); readErr == nil && bytes.Equal(found, encoded) {
				return at, nil
			}

			return 0, err
		case fault.CodeOutcomeUnknown:
			if ctx.Err() != nil || p.ctx.Err() != nil {
				return 0, err
			}
		default:
			return changed, err
		}
	}
}

// Read implements the store of the core packages.
func (p *process) Read(ctx context.Context, kind, name string, value any) (int64, error) {
	var found object
	_, err := p.call(ctx, "", func() (int64, error) {
		m := p.instance.fleet.store
		m.lock.Lock()
		defer m.lock.Unlock()
		found = m.objects[kind+"/"+name]

		return 0, nil
	})
	switch {
	case err != nil:
		return 0, err
	case found.revision == 0:
		return 0, fault.New(fault.CodeNotFound, kind+"/"+name)
	}
	if err := json.Unmarshal(found.value, value); err != nil {
		return 0, fault.Wrap(err, fault.CodeInternal, "unreadable value")
	}

	return found.revision, nil
}

// List implements the store of the core packages.
func (p *process) List(ctx context.Context, kind string, each func(name string, value json.RawMessage, revision int64)) error {
	found := map[string]object{}
	_, err := p.call(ctx, "", func() (int64, error) {
		m := p.instance.fleet.store
		m.lock.Lock()
		defer m.lock.Unlock()
		clear(found)
		for key, o := range m.objects {
			if name, ok := strings.CutPrefix(key, kind+"/"); ok {
				found[name] = o
			}
		}

		return 0, nil
	})
	if err != nil {
		return err
	}
	for name, o := range found {
		each(name, o.value, o.revision)
	}

	return nil
}

// Delete implements the store of the core packages.
func (p *process) Delete(ctx context.Context, kind, name string) error {
	_, err := p.call(ctx, kind, func() (int64, error) {
		m := p.instance.fleet.store
		m.lock.Lock()
		defer m.lock.Unlock()
		delete(m.objects, kind+"/"+name)

		return 0, nil
	})

	return err
}
