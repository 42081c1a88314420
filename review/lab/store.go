package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswer is the time of an answer of the store, as on the sheets.
	storeAnswer = 4 * time.Millisecond
	// pageItems is how many objects a list returns at once.
	pageItems = 500
	// valueBytes is the most that an object may have.
	valueBytes = 1 << 20
)

type storeMeta struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers,omitempty"`
	DeletionPending bool     `json:"deletion_pending,omitempty"`
}

type storeObject struct {
	Metadata storeMeta       `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
	kind    string
	at      int64
}

// store is the platform's metadata store: linearizable, without loss, without history limit.
type store struct {
	listener net.Listener
	// onWrite is called for each write that has been done.
	onWrite func(method, kind, name string)
	lock    sync.Mutex
	objects map[string]map[string]storeObject
	// revision is the counter of all changes.
	revision int64
	history  []storeEvent
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: l,
		objects:  map[string]map[string]storeObject{},
		revision: 1,
		changed:  make(chan struct{}),
		onWrite:  func(string, string, string) {},
	}
	go func() {
		_ = http.Serve(l, s)
	}()

	return s, nil
}

func (s *store) address() string {
	return s.listener.Addr().String()
}

// put writes an object as the operator or a worker would.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.write(kind, storeObject{
		Metadata: storeMeta{
			Name: name,
		},
		Spec: text,
	})
}

// names returns the names of a kind that begin with a prefix.
func (s *store) names(kind, prefix string) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var list []string
	for n := range s.objects[kind] {
		if strings.HasPrefix(n, prefix) {
			list = append(list, n)
		}
	}
	slices.Sort(list)

	return list
}

// spec returns the value of an object, empty if there is none.
func (s *store) spec(kind, name string) string {
	s.lock.Lock()
	defer s.lock.Unlock()

	return string(s.objects[kind][name].Spec)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	name, part, _ := strings.Cut(name, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveRead(w, r, kind, name)
	default:
		s.serveWrite(w, r, kind, name, part)
	}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.lock.Lock()
	o, found := s.objects[kind][name]
	items, truncated := []storeObject{}, false
	if name == "" {
		var list []string
		for n := range s.objects[kind] {
			if n > r.URL.Query().Get("after") {
				list = append(list, n)
			}
		}
		slices.Sort(list)
		size := 0
		for _, n := range list {
			if len(items) == pageItems || size > valueBytes {
				truncated = true

				break
			}
			items = append(items, s.objects[kind][n])
			size += len(s.objects[kind][n].Spec)
		}
	}
	revision := s.revision
	s.lock.Unlock()
	switch {
	case name == "":
		answerJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
	case found:
		answerJSON(w, http.StatusOK, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []storeEvent{}
		s.lock.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.lock.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})

			return
		}
		select {
		case <-changed:
		case <-limit:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name, part string) {
	o := storeObject{}
	if r.Method != http.MethodDelete {
		text, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(text, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
		if len(text) > valueBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)

			return
		}
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		o.Metadata.Revision, _ = strconv.ParseInt(text, 10, 64)
	}
	s.lock.Lock()
	status, result := s.apply(r.Method, kind, name, part, o)
	s.lock.Unlock()
	if status < http.StatusMultipleChoices {
		s.onWrite(r.Method, kind, name)
	}
	answerJSON(w, status, result)
}

// apply does a write; it needs the lock.
func (s *store) apply(method, kind, name, part string, o storeObject) (int, storeObject) {
	found, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, found
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, storeObject{}
	case exists && o.Metadata.Revision != 0 && o.Metadata.Revision != found.Metadata.Revision:
		return http.StatusConflict, found
	case method == http.MethodDelete:
		s.remove(kind, name)

		return http.StatusOK, found
	case part == "status":
		found.Status = o.Status

		return http.StatusOK, s.write(kind, found)
	case exists:
		found.Spec, found.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers

		return http.StatusOK, s.write(kind, found)
	}
	o.Metadata.Name = name
	o.Metadata.Created = time.Now().UnixMilli()

	return http.StatusOK, s.write(kind, o)
}

// write stores an object under the next revision; it needs the lock.
func (s *store) write(kind string, o storeObject) storeObject {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(storeEvent{
		Object: o,
		kind:   kind,
		at:     s.revision,
	})

	return o
}

// remove deletes an object; it needs the lock.
func (s *store) remove(kind, name string) {
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	s.record(storeEvent{
		Object:  o,
		Deleted: true,
		kind:    kind,
		at:      s.revision,
	})
}

func (s *store) record(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
