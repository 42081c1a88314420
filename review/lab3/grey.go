//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// greyCase: one of seven workers fails a part of its requests, while its health check is good.
func greyCase(s *site) (int, error) {
	const workers, share, length = 7, 0.4, 6500 * time.Millisecond
	s.configure()
	if err := s.startPlain(workers); err != nil {
		return failed, err
	}
	if err := s.startEdges(edgeCount); err != nil {
		return failed, err
	}
	var grey atomic.Bool
	s.workers[0].plain = func(rw http.ResponseWriter, r *http.Request, body []byte) {
		if !grey.Load() || rand.Float64() >= share {
			plainAnswer(rw, r, body)

			return
		}
		time.Sleep(15 * time.Millisecond)
		s.note("worker %s has run %s and fails: 503 without X-Tarragonwalk-Not-Executed", s.workers[0].id, r.Header.Get("X-Tarragonwalk-Request-Id"))
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	if s.trouble {
		s.note("worker %s begins to fail %.1f of its requests", s.workers[0].id, share)
		grey.Store(true)
	}
	var lock sync.Mutex
	bad, byStatus := 0, map[int]int{}
	var group sync.WaitGroup
	for k := range 4 {
		group.Go(func() {
			for n, began := 0, time.Now(); time.Since(began) < length; n++ {
				e := s.edges[(k+n)%len(s.edges)]
				id := fmt.Sprintf("b%07x%08x", k, n)
				status, runs := s.order(e, id)
				lock.Lock()
				byStatus[status]++
				lock.Unlock()
				if promises(status) && runs > 0 {
					lock.Lock()
					bad++
					lock.Unlock()
					s.note("order %s was told not to have run, and has run; its client sends it again, with another id, after the promise", id)
					s.order(e, "e"+id[1:])
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	grey.Store(false)
	s.note("orders by status: %v", byStatus)
	if bad > 0 {
		s.note("REFUSED is broken: %d requests that aren't idempotent were answered with a promise that they have not run, and have run", bad)

		return broken, nil
	}

	return held, nil
}

// order sends an order and returns the status of the answer and how often the request was run.
func (s *site) order(e *edge, id string) (status, runs int) {
	a, err := s.call(e, http.MethodPost, "/orders/1", id, nil, "one skull", 2*time.Second)
	for _, w := range s.workers {
		runs += w.runsOf(id)
	}
	s.note("order %s at %s: status %d %v, runs at workers: %d", id, e.name, a.status, err, runs)

	return a.status, runs
}

// promises reports whether a status promises that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
