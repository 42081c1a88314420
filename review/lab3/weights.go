//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// weightsCase: three releases replace a third of the workers each, one after the other, by some with newer weights. Sessions of clients stay with
// the weights that have answered them first.
func weightsCase(s *site) (int, error) {
	const workers, releases, sessions = engineCount, 3, 12
	const length = 34 * time.Second
	s.configure()
	if err := s.startPlain(deskCount); err != nil {
		return failed, err
	}
	var old []*worker
	for n := range workers {
		w, err := s.startWorker(fmt.Sprintf("i-old-%d", n+1), service, 1, 8)
		if err != nil {
			return failed, err
		}
		old = append(old, w)
	}
	if err := s.startEdges(edgeCount); err != nil {
		return failed, err
	}
	var group sync.WaitGroup
	for k := range sessions {
		group.Go(func() { s.session(k, length) })
	}
	if s.trouble {
		time.Sleep(3 * time.Second)
		for n := range workers {
			if n > 0 && n%(workers/releases) == 0 {
				s.note("a further release begins")
				time.Sleep(3 * time.Second)
			}
			if _, err := s.startWorker(fmt.Sprintf("i-new-%d", n+1), service, 2, 8); err != nil {
				return failed, err
			}
			time.Sleep(time.Second)
			go old[n].drain(4 * time.Second)
		}
	}
	group.Wait()
	time.Sleep(5 * time.Second)
	const job = "7c41e09b52d6a3f8"
	items := sheets(job, 10)
	if err := s.submit(job, 0, items); err != nil {
		return failed, err
	}
	served := map[int]int{}
	for n := range 21 {
		e := s.edges[n%len(s.edges)]
		id := fmt.Sprintf("c%015x", n)
		a, err := s.call(e, http.MethodPost, "/notes/1", id, noteHeaders(n, 0), "prompt", 5*time.Second)
		s.note("request %s, which expects no version, at %s: status %d %v", id, e.name, a.status, err)
		served[a.status]++
		time.Sleep(300 * time.Millisecond)
	}
	s.note("requests that expect no version, after the release, by status: %v", served)

	return s.judgeLost(map[string][]item{job: items})
}

func noteHeaders(session, n int) map[string]string {
	return map[string]string{
		"X-Tarragonwalk-Model": "m", "X-Tarragonwalk-Token-Usage": "350,80", "X-Tarragonwalk-Prefix-Hash": fmt.Sprintf("5c1e07a2:100,e4%02x%04x:250", session, n),
	}
}

// session sends requests, one after the other, that expect the version of the weights that has answered the first one. After several refusals
// it goes on without.
func (s *site) session(k int, length time.Duration) {
	const patience = 8
	version, refusals := "", 0
	for n, began := 0, time.Now(); time.Since(began) < length; n++ {
		e := s.edges[(k+n)%len(s.edges)]
		h := noteHeaders(k, n)
		if version != "" {
			h["X-Tarragonwalk-Expect-Version"] = version
		}
		id := fmt.Sprintf("a%011x%04x", k, n)
		a, err := s.call(e, http.MethodPost, "/notes/1", id, h, "prompt", 5*time.Second)
		s.note("request %s of session %d, which expects weights %q, at %s: status %d %v, answered by weights %q", id, k, version, e.name, a.status, err,
			a.header.Get("X-Tarragonwalk-Weight-Versions"))
		switch {
		case a.status == http.StatusOK:
			version, refusals = a.header.Get("X-Tarragonwalk-Weight-Versions"), 0
		case refusals < patience:
			refusals++
		default:
			version, refusals = "", 0
		}
		time.Sleep(250 * time.Millisecond)
	}
}
