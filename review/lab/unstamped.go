package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// spoiledShare is the share of the answers of one of three workers after which further bytes come.
	spoiledShare = 0.03
	// extraWithin is the longest time after a complete answer until the further bytes come; each time is drawn at random.
	extraWithin = 30 * time.Millisecond
	// briefPause is the pause of a client between two of its requests.
	briefPause = 5 * time.Millisecond
	// extraBytes are additional bytes after a complete answer. They bear neither the ID of a request nor a worker's stamp.
	extraBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 17\r\n\r\nnot an answer 123"
)

// spoiler passes bytes between callers and a worker, and adds bytes a little after some complete answers, whether the connection is in use
// again by then or not.
type spoiler struct {
	listener net.Listener
	target   string
	lock     sync.Mutex
	share    float64
	added    int
}

func newSpoiler(address, target string) (*spoiler, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &spoiler{
		listener: l,
		target:   target,
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()

	return p, nil
}

func (p *spoiler) setShare(share float64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.share = share
}

func (p *spoiler) spoils() bool {
	p.lock.Lock()
	defer p.lock.Unlock()

	return rand.Float64() < p.share
}

// serve passes on one request and its answer after the other.
func (p *spoiler) serve(caller net.Conn) {
	defer caller.Close()
	worker, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer worker.Close()
	fromCaller, fromWorker := bufio.NewReader(caller), bufio.NewReader(worker)
	// writing keeps the added bytes out of the middle of an answer.
	var writing sync.Mutex
	for {
		r, err := http.ReadRequest(fromCaller)
		if err != nil || r.Write(worker) != nil {
			return
		}
		answer, err := http.ReadResponse(fromWorker, r)
		if err != nil {
			return
		}
		writing.Lock()
		err = answer.Write(caller)
		writing.Unlock()
		if err != nil {
			return
		}
		answer.Body.Close()
		if p.spoils() {
			time.AfterFunc(rand.N(extraWithin), func() {
				writing.Lock()
				defer writing.Unlock()
				if _, err := io.WriteString(caller, extraBytes); err == nil {
					p.lock.Lock()
					p.added++
					p.lock.Unlock()
				}
			})
		}
	}
}

// unstamped: a faulty worker sends additional bytes after complete answers.
func unstamped(s *site, trouble bool) (int, error) {
	s.configure(map[string]any{
		"name": "order-status", "host": host, "path_prefix": "/puxa403/", "route_type": "safe", "service": "xano55b", "timeout_ms": 1500,
		"target_latency_ms": 150, "max_attempts": 2, "priority": 2,
	})
	var faulty *spoiler
	for n, zone := range []string{"taff-a", "taff-b", "menai-a"} {
		w, err := s.addWorker("xano55b", zone, 6, false)
		if err != nil {
			return unable, err
		}
		if n > 0 {
			continue
		}
		if faulty, err = newSpoiler(s.prefix+".202:0", w.address); err != nil {
			return unable, err
		}
		w.address = faulty.listener.Addr().String()
		s.store.put("servers", w.id, w.entry())
	}
	for _, zone := range []string{"taff-a", "taff-b"} {
		if _, err := s.addEntry(zone, s.store.address()); err != nil {
			return unable, err
		}
	}
	if err := s.startAll(); err != nil {
		return unable, err
	}
	var lock sync.Mutex
	total, answered, wrong := 0, 0, 0
	end := time.Now().Add(calmBefore + troubleFor + calmAfter)
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			c := &caller{
				address: s.entries[n%len(s.entries)].front(),
			}
			for time.Now().Before(end) {
				id := randomID()
				status, stamp, text, err := c.send(http.MethodPost, "/puxa403/2f", id, "", strings.Repeat("b", 600))
				lock.Lock()
				total++
				if err == nil && status == http.StatusOK {
					answered++
					if stamp == "" || text != strings.Repeat("x", 800) {
						wrong++
						s.note("MIXED is broken: request %s was answered 200, stamp %q, body %.40q; runs at workers: %d", id, stamp, text, len(s.fleet.of(id)))
					}
				}
				lock.Unlock()
				time.Sleep(briefPause)
			}
		})
	}
	time.Sleep(calmBefore)
	if trouble {
		faulty.setShare(spoiledShare)
		s.note("a worker adds bytes after %.0f in 100 of its answers", 100*spoiledShare)
	}
	time.Sleep(troubleFor)
	faulty.setShare(0)
	group.Wait()
	s.note("%d requests sent, %d answered 200; bytes were added %d times; %d successes without a worker's stamp or with another body", total, answered,
		faulty.added, wrong)
	if total == 0 || answered == 0 {
		return unable, fmt.Errorf("no request was answered")
	}
	if wrong > 0 {
		return broken, nil
	}

	return held, nil
}
