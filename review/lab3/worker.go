//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// queueLength is how many requests a worker queues beyond its slots.
const queueLength = 24

// worker is a sound worker, unless its behaviour is changed.
type worker struct {
	site    *site
	id      string
	service string
	weights int
	slots   int
	address string
	server  *http.Server
	born    int64
	gap     time.Duration
	// events returns the data of the events of a request.
	events func(r *http.Request, body []byte) []string
	// plain answers a request of a plain service.
	plain func(w http.ResponseWriter, r *http.Request, body []byte)

	// places are the slots, and queue the further requests that may wait for one.
	places chan struct{}
	queue  chan struct{}

	lock    sync.Mutex
	running int
	runs    map[string]int
	seq     int
	state   string
	stopped chan struct{}
}

func copyAll(to io.Writer, p *http.Response) (int64, error) { return io.Copy(to, p.Body) }

// startWorker starts a worker and registers it in the store, where its entry is renewed as the pages say.
func (s *site) startWorker(id, service string, weights, slots int) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		site:    s,
		id:      id,
		service: service,
		weights: weights,
		slots:   slots,
		address: l.Addr().String(),
		born:    time.Now().UnixMilli(),
		gap:     20 * time.Millisecond,
		places:  make(chan struct{}, slots),
		queue:   make(chan struct{}, slots+queueLength),
		runs:    map[string]int{},
		state:   "ready",
		stopped: make(chan struct{}),
	}
	w.events = func(*http.Request, []byte) []string {
		var list []string
		for n := range 28 {
			list = append(list, fmt.Sprintf("token %d of %s", n+1, "the note"))
		}

		return list
	}
	w.server = &http.Server{Handler: w}
	s.workers = append(s.workers, w)
	go func() { _ = w.server.Serve(l) }()
	w.register()
	go func() {
		for {
			select {
			case <-time.After(1200 * time.Millisecond):
				w.register()
			case <-w.stopped:
				return
			}
		}
	}()
	s.note("worker %s of %s starts at %s with weights %d", id, service, w.address, weights)

	return w, nil
}

func (w *worker) register() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.state == "" {
		return
	}
	w.seq++
	w.site.store.Put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": zone, "version": fmt.Sprint("v", w.weights), "slots": w.slots, "state": w.state,
		"warmup_left_ms": 0, "stage": "hybrid", "models": []map[string]any{{"name": "m", "version": w.weights, "adapters": []string{}}},
		"seq": w.seq, "born": w.born,
	})
}

// drain reports that the worker leaves, serves for the given time, and ends it.
func (w *worker) drain(serve time.Duration) {
	w.site.note("worker %s is draining", w.id)
	w.lock.Lock()
	w.state = "draining"
	w.lock.Unlock()
	w.register()
	time.Sleep(serve)
	w.lock.Lock()
	w.state = ""
	w.lock.Unlock()
	w.site.store.Remove("servers", w.id)
	close(w.stopped)
	_ = w.server.Close()
	w.site.note("worker %s has ended", w.id)
}

// leaves reports whether the worker is draining or has left.
func (w *worker) leaves() bool {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.state != "ready"
}

func (w *worker) active() int {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.running
}

func (w *worker) runsOf(id string) int {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.runs[id]
}

// ServeHTTP answers one request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.Method == http.MethodGet && r.URL.Path == "/v1/report" {
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{
			"stage": "hybrid", "models": []map[string]any{{"name": "m", "version": w.weights, "adapters": []string{}}}, "busy": false, "seq": 0,
			"waiting": 0, "running": w.active(), "kv_used": 0, "kv_total": 147261, "handles": 0,
		})

		return
	}
	health := r.Method == http.MethodGet && r.URL.Path == "/healthz"
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Tarragonwalk-Request-Id")
	if w.leaves() {
		h.Set("Connection", "close")
	}
	if id != "" {
		h.Set("X-Tarragonwalk-Request-Id", id)
	}
	refuse := func(status int, why string) {
		w.site.note("worker %s refuses %s with %d, not run: %s", w.id, id, status, why)
		h.Set("X-Tarragonwalk-Not-Executed", "1")
		rw.WriteHeader(status)
	}
	if id == "" && !health {
		refuse(http.StatusBadRequest, "it has no id")

		return
	}
	if expected := r.Header.Get("X-Tarragonwalk-Expect-Instance"); expected != "" && expected != w.id {
		refuse(http.StatusMisdirectedRequest, "it is for "+expected)

		return
	}
	if expected := r.Header.Get("X-Tarragonwalk-Expect-Version"); expected != "" && expected != strconv.Itoa(w.weights) {
		refuse(http.StatusMisdirectedRequest, "it expects weights "+expected+", these are "+strconv.Itoa(w.weights))

		return
	}
	select {
	case w.queue <- struct{}{}:
		defer func() { <-w.queue }()
	default:
		refuse(http.StatusServiceUnavailable, "full")

		return
	}
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	case <-r.Context().Done():
		return
	}
	if health {
		h.Set("X-Tarragonwalk-Instance-Id", w.id)
		if w.leaves() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}

		return
	}
	w.lock.Lock()
	w.running++
	w.runs[id]++
	run := w.runs[id]
	w.lock.Unlock()
	defer func() {
		w.lock.Lock()
		defer w.lock.Unlock()
		w.running--
	}()
	w.site.note("worker %s begins to run %s %s (run %d there)", w.id, r.Method, id, run)
	h.Set("X-Tarragonwalk-Server-Stamp", "stamp."+w.id+"."+id)
	h.Set("X-Tarragonwalk-Weight-Versions", strconv.Itoa(w.weights))
	if w.plain != nil {
		w.plain(rw, r, body)

		return
	}
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n, data := range w.events(r, body) {
		if n < after {
			continue
		}
		select {
		case <-time.After(w.gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n+1, data); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// plainAnswer is the answer of a plain service.
func plainAnswer(rw http.ResponseWriter, r *http.Request, _ []byte) {
	time.Sleep(15 * time.Millisecond)
	fmt.Fprintf(rw, "done: %s", r.Header.Get("X-Tarragonwalk-Request-Id"))
}
