package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headID          = "X-Tarragonwalk-Request-Id"
	headDeadline    = "X-Tarragonwalk-Deadline-Ms"
	headExpected    = "X-Tarragonwalk-Expect-Instance"
	headNotExecuted = "X-Tarragonwalk-Not-Executed"
	headStamp       = "X-Tarragonwalk-Server-Stamp"
	headInstance    = "X-Tarragonwalk-Instance-Id"
	headWait        = "X-Tarragonwalk-Wait-Ms"
	headLast        = "Last-Event-Id"
	// queuePlaces is how many requests a worker queues beside those at work, as in the site file.
	queuePlaces = 24
)

// execution is one run of a request at a worker.
type execution struct {
	id, worker, method, target string
	began                      time.Time
	ended                      time.Time
	// outcome is "answered", "lost" (the worker has run the request and its answer was lost) or "left" (the connection was closed).
	outcome string
}

// fleet counts the runs at all workers.
type fleet struct {
	lock sync.Mutex
	runs map[string][]*execution
}

func newFleet() *fleet {
	return &fleet{
		runs: map[string][]*execution{},
	}
}

func (f *fleet) begin(e *execution) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.runs[e.id] = append(f.runs[e.id], e)
}

func (f *fleet) end(e *execution, outcome string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	e.ended, e.outcome = time.Now(), outcome
}

func (f *fleet) of(id string) []execution {
	f.lock.Lock()
	defer f.lock.Unlock()
	var list []execution
	for _, e := range f.runs[id] {
		list = append(list, *e)
	}

	return list
}

// active returns how many runs are at work.
func (f *fleet) active() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	n := 0
	for _, list := range f.runs {
		for _, e := range list {
			if e.ended.IsZero() {
				n++
			}
		}
	}

	return n
}

// idleFor reports whether no request was at work at any worker in a time up to now.
func (f *fleet) idleFor(d time.Duration) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	since := time.Now().Add(-d)
	for _, list := range f.runs {
		for _, e := range list {
			if e.ended.IsZero() || e.ended.After(since) {
				return false
			}
		}
	}

	return true
}

// worker is a sound worker of one service, but for what the fields below say.
type worker struct {
	id, service, zone string
	slots             int
	// streams is set for a worker that answers with events.
	streams bool
	events  int
	pause   time.Duration
	// prefill is the time before the first event of a run, in which the worker reads the prompt.
	prefill time.Duration
	fleet   *fleet
	server  *http.Server
	address string
	born    int64
	places  chan struct{}

	lock sync.Mutex
	// waiting counts the requests at work and in the queue.
	waiting int
	// loseShare is the share of the answers that are lost: the request has run, and its connection is reset.
	loseShare float64
}

func newWorker(address, id, service, zone string, slots int, f *fleet) (*worker, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id:      id,
		service: service,
		zone:    zone,
		slots:   slots,
		events:  20,
		pause:   10 * time.Millisecond,
		fleet:   f,
		address: l.Addr().String(),
		born:    time.Now().UnixMilli(),
		places:  make(chan struct{}, slots),
	}
	w.server = &http.Server{
		Handler:     w,
		IdleTimeout: 30 * time.Second,
	}
	go func() {
		_ = w.server.Serve(l)
	}()

	return w, nil
}

// entry is what the worker writes to the store.
func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": 1, "slots": w.slots, "state": "ready",
		"warmup_left_ms": 0, "seq": 1, "born": w.born,
	}
}

// crash ends the worker, whose connections the system closes, as it does for a killed process.
func (w *worker) crash() {
	w.server.Close()
}

func (w *worker) setLoseShare(share float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.loseShare = share
}

// enter reports whether the worker has a slot or a place in its queue.
func (w *worker) enter() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.waiting >= w.slots+queuePlaces {
		return false
	}
	w.waiting++

	return true
}

func (w *worker) leave() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.waiting--
}

func (w *worker) loses() bool {
	w.lock.Lock()
	defer w.lock.Unlock()

	return rand.Float64() < w.loseShare
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		rw.Header().Set(headInstance, w.id)

		return
	case "/v1/report":
		answerJSON(rw, http.StatusOK, map[string]any{"stage": "hybrid", "busy": false, "seq": 0, "waiting": 0, "running": len(w.places)})

		return
	}
	id := r.Header.Get(headID)
	rw.Header().Set(headID, id)
	if expected := r.Header.Get(headExpected); expected != "" && expected != w.id {
		refuse(rw, http.StatusMisdirectedRequest)

		return
	}
	if id == "" {
		refuse(rw, http.StatusBadRequest)

		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	limit := time.After(time.Hour)
	if n, err := strconv.Atoi(r.Header.Get(headDeadline)); err == nil {
		limit = time.After(time.Duration(n) * time.Millisecond)
	}
	if !w.enter() {
		refuse(rw, http.StatusServiceUnavailable)

		return
	}
	defer w.leave()
	select {
	case w.places <- struct{}{}:
	case <-limit:
		refuse(rw, http.StatusServiceUnavailable)

		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.places }()
	e := &execution{
		id:     id,
		worker: w.id,
		method: r.Method,
		target: r.URL.RequestURI(),
		began:  time.Now(),
	}
	w.fleet.begin(e)
	rw.Header().Set(headStamp, fmt.Sprintf("%s.%d", w.id, e.began.UnixNano()))
	if w.streams {
		w.stream(rw, r, e)

		return
	}
	time.Sleep(15 * time.Millisecond)
	if w.loses() {
		w.fleet.end(e, "lost")
		reset(rw)

		return
	}
	w.fleet.end(e, "answered")
	body := strings.Repeat("x", 800)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, e *execution) {
	after, _ := strconv.Atoi(r.Header.Get(headLast))
	rw.Header().Set("Content-Type", "text/event-stream")
	if w.loses() {
		time.Sleep(w.pause)
		w.fleet.end(e, "lost")
		reset(rw)

		return
	}
	flush := http.NewResponseController(rw)
	select {
	case <-time.After(w.prefill):
	case <-r.Context().Done():
		w.fleet.end(e, "left")

		return
	}
	for n := after + 1; n <= w.events; n++ {
		select {
		case <-time.After(w.pause):
		case <-r.Context().Done():
			w.fleet.end(e, "left")

			return
		}
		_, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventText(e.id, n))
		if err != nil || flush.Flush() != nil {
			w.fleet.end(e, "left")

			return
		}
	}
	w.fleet.end(e, "answered")
}

func eventText(id string, n int) string {
	return fmt.Sprintf("%s-%d", id, n)
}

// wholeText is the text of a completed item.
func wholeText(id string, events int) string {
	lines := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		lines = append(lines, eventText(id, n))
	}

	return strings.Join(lines, "\n")
}

func refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set(headNotExecuted, "1")
	rw.WriteHeader(status)
}

// reset closes the connection of a request without an answer.
func reset(rw http.ResponseWriter) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
