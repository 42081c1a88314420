package fakestore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/objectstore"
)

// Store holds objects with versions and a change log. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	objects  map[string]object
	changes  []objectstore.Change
	changed  chan struct{}
	revision int
	calls    int
	down     bool
	delay    time.Duration
	lose     func(op, key string) bool
	observe  func(op, key string, value []byte)
}

type object struct {
	value   []byte
	version int64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]object),
		changed: make(chan struct{}),
	}
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay sets the time that each call takes before it has its effect.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLose makes writes for which lose returns true take effect but return outcome_unknown; op is "put" or "delete". A nil
// function ends this.
func (s *Store) SetLose(lose func(op, key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// SetObserve calls observe for each write when it takes effect; op is "put" or "delete". observe must not use the store.
func (s *Store) SetObserve(observe func(op, key string, value []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

// enter counts the call, waits for the delay and locks; the caller unlocks if err is nil.
func (s *Store) enter(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	d := s.delay
	s.mu.Unlock()
	if d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return fault.Wrap(ctx.Err(), fault.CodeStoreUnavailable, "store call ended")
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()

		return fault.New(fault.CodeStoreUnavailable, "store is down")
	}

	return nil
}

// Get returns the value at a key and its version.
func (s *Store) Get(ctx context.Context, key string) ([]byte, int64, error) {
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return nil, 0, fault.New(fault.CodeNotFound, "no object "+key)
	}

	return append([]byte(nil), o.value...), o.version, nil
}

// Put writes a value if the current version is ifVersion; 0 means that the key must not exist.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if len(value) > 1<<20 {
		return 0, fault.New(fault.CodeTooLarge, "value above 1 MB")
	}
	if s.objects[key].version != ifVersion {
		return 0, fault.New(fault.CodeConflict, "version of "+key+" differs")
	}
	s.revision++
	s.objects[key] = object{
		value:   append([]byte(nil), value...),
		version: int64(s.revision),
	}
	s.record(key, s.revision)
	if s.observe != nil {
		s.observe("put", key, value)
	}
	if s.lose != nil && s.lose("put", key) {
		return 0, fault.New(fault.CodeOutcomeUnknown, "answer lost")
	}

	return int64(s.revision), nil
}

// Delete removes a value if its version is ifVersion.
func (s *Store) Delete(ctx context.Context, key string, ifVersion int64) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return fault.New(fault.CodeNotFound, "no object "+key)
	}
	if o.version != ifVersion {
		return fault.New(fault.CodeConflict, "version of "+key+" differs")
	}
	s.revision++
	delete(s.objects, key)
	s.record(key, 0)
	if s.observe != nil {
		s.observe("delete", key, nil)
	}
	if s.lose != nil && s.lose("delete", key) {
		return fault.New(fault.CodeOutcomeUnknown, "answer lost")
	}

	return nil
}

func (s *Store) record(key string, version int) {
	s.changes = append(s.changes, objectstore.Change{
		Key:      key,
		Revision: s.revision,
		Version:  version,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns up to limit keys with the prefix that sort after the key after, and the revision.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Entry, int64, error) {
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var entries []objectstore.Entry
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) && k > after {
			entries = append(entries, objectstore.Entry{
				Key:     k,
				Version: int(o.version),
			})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })

	return entries[:min(limit, len(entries))], int64(s.revision), nil
}

// Watch waits for changes with the prefix after the revision since, and returns them; it ends at the time until.
func (s *Store) Watch(ctx context.Context, prefix string, since int64, until time.Time) ([]objectstore.Change, int64, error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for ended := false; ; {
		if err := s.enter(ctx); err != nil {
			return nil, 0, err
		}
		var found []objectstore.Change
		for _, c := range s.changes[min(int(since), len(s.changes)):] {
			if strings.HasPrefix(c.Key, prefix) {
				found = append(found, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || ended {
			return found, int64(revision), nil
		}
		select {
		case <-changed:
		case <-t.C:
			ended = true
		case <-ctx.Done():
		}
	}
}
