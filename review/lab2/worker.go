//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	idHeader     = "X-Tarragonwalk-Request-Id"
	stampHeader  = "X-Tarragonwalk-Server-Stamp"
	notRunHeader = "X-Tarragonwalk-Not-Executed"
	expectHeader = "X-Tarragonwalk-Expect-Instance"
	serverHeader = "X-Tarragonwalk-Instance-Id"
	waitHeader   = "X-Tarragonwalk-Wait-Ms"
)

// run is one request that reached a worker and was not refused.
type run struct {
	worker string
	id     string
	line   string
	at     time.Time
}

// runs are the runs at all workers.
type runs struct {
	lock sync.Mutex
	list []run
	open map[string]int
	// endedAt is when the last run of each request ended.
	endedAt map[string]time.Time
	log     func(format string, args ...any)
}

func (r *runs) begin(x run) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.list = append(r.list, x)
	r.open[x.id]++
	r.log("worker %s runs %s: %s", x.worker, x.id, x.line)
}

func (r *runs) end(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.open[id]--
	r.endedAt[id] = time.Now()
}

// busy returns how many runs are under way.
func (r *runs) busy() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	n := 0
	for _, open := range r.open {
		n += open
	}

	return n
}

// had reports whether a worker had one of some requests within a time before now.
func (r *runs) had(ids map[string]bool, within time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	for id := range ids {
		if r.open[id] > 0 || time.Since(r.endedAt[id]) <= within {
			return true
		}
	}

	return false
}

// after returns the runs of some ids that began after a time.
func (r *runs) after(ids map[string]bool, at time.Time) []run {
	r.lock.Lock()
	defer r.lock.Unlock()
	var list []run
	for _, x := range r.list {
		if ids[x.id] && x.at.After(at) {
			list = append(list, x)
		}
	}

	return list
}

// worker is a stand-in of a sound worker: one that streams events, or a plain service.
type worker struct {
	id      string
	service string
	zone    string
	slots   int
	// events is the number of events of a stream, 0 for a plain service; pause is the time before each event, or before the answer.
	events   int
	pause    time.Duration
	listener net.Listener
	runs     *runs
	// status returns the status with which a request with an id is answered at once, 0 to run it.
	status func(id string) int
	// places holds a value for each request that the worker has, turns one for each that it works on.
	places chan struct{}
	turns  chan struct{}
}

// queue is the number of requests that a worker queues beside those that it works on, as on the sheet.
const queue = 24

func newWorker(id, service, zone string, slots, events int, pause time.Duration, r *runs) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id:       id,
		service:  service,
		zone:     zone,
		slots:    slots,
		events:   events,
		pause:    pause,
		listener: l,
		runs:     r,
		places:   make(chan struct{}, slots+queue),
		turns:    make(chan struct{}, slots),
	}
	server := &http.Server{
		Handler: w,
	}
	go func() { _ = server.Serve(l) }()

	return w, nil
}

func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1790000000000,
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(idHeader)
	if e := r.Header.Get(expectHeader); e != "" && e != w.id {
		rw.Header().Set(idHeader, id)
		rw.Header().Set(serverHeader, w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	if id == "" {
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusBadRequest)

		return
	}
	rw.Header().Set(idHeader, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	select {
	case w.turns <- struct{}{}:
		defer func() { <-w.turns }()
	case <-r.Context().Done():
		return
	}
	w.runs.begin(run{
		worker: w.id,
		id:     id,
		at:     time.Now(),
		line:   fmt.Sprintf("%s %s, %d bytes, after event %q", r.Method, r.RequestURI, len(body), r.Header.Get("Last-Event-Id")),
	})
	defer w.runs.end(id)
	rw.Header().Set(stampHeader, w.id+"."+id)
	if w.status != nil {
		if status := w.status(id); status != 0 {
			rw.WriteHeader(status)

			return
		}
	}
	if w.events == 0 {
		time.Sleep(w.pause)
		_, _ = io.WriteString(rw, "answer of "+w.service+" to "+id)

		return
	}
	w.stream(rw, r, id)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw)
	for n := after + 1; n <= w.events; n++ {
		select {
		case <-time.After(w.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil || flush.Flush() != nil {
			return
		}
	}
}

func eventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// itemText is the whole output of an item.
func itemText(id string, events int) string {
	text := ""
	for n := 1; n <= events; n++ {
		if n > 1 {
			text += "\n"
		}
		text += eventData(id, n)
	}

	return text
}
