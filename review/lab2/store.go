//go:build review2

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems and pageBytes bound one page of a list.
	pageItems = 500
	pageBytes = 1 << 20
	// valueBytes bounds one object.
	valueBytes = 1 << 20
	// answerDelay is the time in which the store answers.
	answerDelay = 4 * time.Millisecond
)

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      int64
}

// store is a stand-in of the platform's metadata store without disruptions.
type store struct {
	listener net.Listener
	lock     sync.Mutex
	kinds    map[string]map[string]object
	revision int64
	history  []change
	changed  chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: l,
		kinds:    map[string]map[string]object{},
		revision: 100,
		changed:  make(chan struct{}),
	}
	server := &http.Server{
		Handler: s,
	}
	go func() { _ = server.Serve(l) }()

	return s, nil
}

// put writes an object as the operator or a worker would.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, text
	s.write(kind, o)
}

func (s *store) remove(kind, name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.drop(kind, name)
}

func (s *store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.note(kind, o, false)

	return o
}

func (s *store) drop(kind, name string) (object, bool) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return o, false
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.note(kind, o, true)

	return o, true
}

func (s *store) note(kind string, o object, deleted bool) {
	s.history = append(s.history, change{
		Object:  o,
		Deleted: deleted,
		kind:    kind,
		at:      s.revision,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)

		return
	}
	time.Sleep(answerDelay)
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.lock.Lock()
		o, found := s.kinds[kind][name]
		s.lock.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)

			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.lock.Lock()
	var names []string
	for n := range s.kinds[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items, size, truncated := []object{}, 0, false
	for _, n := range names {
		o := s.kinds[kind][n]
		if len(items) == pageItems || size > 0 && size+len(o.Spec) > pageBytes {
			truncated = true

			break
		}
		size += len(o.Spec)
		items = append(items, o)
	}
	revision := s.revision
	s.lock.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.After(time.Duration(millis) * time.Millisecond)
	for {
		s.lock.Lock()
		events := []change{}
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.lock.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})

			return
		}
		select {
		case <-changed:
		case <-limit:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	o := object{}
	if r.Method != http.MethodDelete {
		body, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
		if len(body) > valueBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)

			return
		}
	}
	condition := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64)
	}
	name, part, _ := strings.Cut(name, "/")
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	status, result := s.apply(r.Method, kind, name, part, condition, o)
	answer(w, status, result)
}

func (s *store) apply(method, kind, name, part string, condition int64, o object) (int, object) {
	s.lock.Lock()
	defer s.lock.Unlock()
	found, exists := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, found
	case method == http.MethodPost:
		o.Metadata = metadata{
			Name:       name,
			Finalizers: o.Metadata.Finalizers,
		}

		return http.StatusOK, s.write(kind, o)
	case !exists:
		return http.StatusNotFound, object{}
	case condition != 0 && condition != found.Metadata.Revision:
		return http.StatusConflict, found
	case method == http.MethodDelete:
		s.drop(kind, name)

		return http.StatusOK, found
	case part == "status":
		found.Status = o.Status
	default:
		if string(found.Spec) == string(o.Spec) {
			return http.StatusOK, found
		}
		found.Spec = o.Spec
	}

	return http.StatusOK, s.write(kind, found)
}

func answer(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
