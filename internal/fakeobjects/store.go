package fakeobjects

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"tarragonwalk/core/fault"
)

type object struct {
	value    []byte
	revision int64
}

// Store holds objects by kind and name. It is safe for concurrent use.
type Store struct {
	// lock guards all fields below.
	lock         sync.Mutex
	objects      map[string]object
	revision     int64
	nextFailures map[string]fault.Code
	choose       func(kind string) fault.Code
	unreadable   bool
	reads        map[string]int
	writes       map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects:      map[string]object{},
		nextFailures: map[string]fault.Code{},
		reads:        map[string]int{},
		writes:       map[string]int{},
	}
}

// Reads returns how many objects and lists of a kind were read.
func (s *Store) Reads(kind string) int {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.reads[kind]
}

// Writes returns how many writes of a kind were tried.
func (s *Store) Writes(kind string) int {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.writes[kind]
}

// FailNext makes the next write of a kind fail with a code. The write takes effect unless the code is store_unavailable.
func (s *Store) FailNext(kind string, code fault.Code) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.nextFailures[kind] = code
}

// Choose makes each write fail with the code that choose returns for its kind; an empty code means success.
func (s *Store) Choose(choose func(kind string) fault.Code) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.choose = choose
}

// SetUnreadable makes all reads of single objects fail.
func (s *Store) SetUnreadable(unreadable bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.unreadable = unreadable
}

// Len returns the number of objects.
func (s *Store) Len() int {
	s.lock.Lock()
	defer s.lock.Unlock()

	return len(s.objects)
}

// Largest returns the size of the largest object in bytes.
func (s *Store) Largest() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := 0
	for _, o := range s.objects {
		n = max(n, len(o.value))
	}

	return n
}

func (s *Store) failure(kind string) fault.Code {
	code := s.nextFailures[kind]
	delete(s.nextFailures, kind)
	if code == "" && s.choose != nil {
		code = s.choose(kind)
	}

	return code
}

// Create creates an object that must not exist.
func (s *Store) Create(_ context.Context, kind, name string, value any) (int64, error) {
	return s.write(kind, name, value, func(_ object, exists bool) bool { return !exists })
}

// Replace changes an object if it has the given revision.
func (s *Store) Replace(_ context.Context, kind, name string, value any, revision int64) (int64, error) {
	return s.write(kind, name, value, func(o object, exists bool) bool { return exists && o.revision == revision })
}

func (s *Store) write(kind, name string, value any, allowed func(o object, exists bool) bool) (int64, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.writes[kind]++
	code := s.failure(kind)
	if code == fault.CodeStoreUnavailable {
		return 0, fault.New(code, "the store is down")
	}
	o, exists := s.objects[kind+"/"+name]
	if !allowed(o, exists) {
		return 0, fault.New(fault.CodeConflict, "the object exists or has another revision")
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.revision++
	s.objects[kind+"/"+name] = object{
		value:    encoded,
		revision: s.revision,
	}
	if code != "" {
		return 0, fault.New(code, "the answer was lost")
	}

	return s.revision, nil
}

// Read decodes an object.
func (s *Store) Read(_ context.Context, kind, name string, value any) (int64, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reads[kind]++
	if s.unreadable {
		return 0, fault.New(fault.CodeUnavailable, "no answer")
	}
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return 0, fault.New(fault.CodeNotFound, "no such object")
	}

	return o.revision, json.Unmarshal(o.value, value)
}

// List calls each for every object of a kind, in the order of their names.
func (s *Store) List(_ context.Context, kind string, each func(name string, value json.RawMessage, revision int64)) error {
	s.lock.Lock()
	s.reads[kind]++
	var names []string
	for key := range s.objects {
		if name, ok := strings.CutPrefix(key, kind+"/"); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	found := make([]object, 0, len(names))
	for _, name := range names {
		found = append(found, s.objects[kind+"/"+name])
	}
	s.lock.Unlock()
	for i, name := range names {
		each(name, found[i].value, found[i].revision)
	}

	return nil
}

// Delete removes an object.
func (s *Store) Delete(_ context.Context, kind, name string) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.objects, kind+"/"+name)

	return nil
}
