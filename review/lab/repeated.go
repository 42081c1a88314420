package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// calmBefore is how long clients send before the trouble, troubleFor how long it lasts, and calmAfter how long they go on.
	calmBefore = 2 * time.Second
	troubleFor = 4 * time.Second
	calmAfter  = 2 * time.Second
	// lostShare is the share of answers that are lost, at one of three workers.
	lostShare = 0.05
	clients   = 12
	// pauseBetween is the pause of a client between two of its requests.
	pauseBetween = 20 * time.Millisecond
)

// form is one way in which a client writes a request on a route that must not be repeated.
type form struct {
	name, method, path string
	key, body          bool
}

var forms = []form{
	{
		name:   "POST with a body",
		method: http.MethodPost,
		path:   "/rihe110/4c",
		body:   true,
	},
	{
		name:   "POST without a body, with an Idempotency-Key",
		method: http.MethodPost,
		path:   "/rihe110/confirm",
		key:    true,
	},
	{
		name:   "GET",
		method: http.MethodGet,
		path:   "/rihe110/next",
	},
}

type sent struct {
	id     string
	form   form
	status int
	err    error
}

// repeated: workers run requests of an unsafe route and their answers are lost.
func repeated(s *site, trouble bool) (int, error) {
	s.configure(map[string]any{
		"name": "order-intake", "host": host, "path_prefix": "/rihe110/", "route_type": "unsafe", "service": "xano55b", "timeout_ms": 1500,
		"target_latency_ms": 150, "max_attempts": 2, "priority": 2,
	})
	var workers []*worker
	for _, zone := range []string{"taff-a", "taff-b", "menai-a"} {
		w, err := s.addWorker("xano55b", zone, 6, false)
		if err != nil {
			return unable, err
		}
		workers = append(workers, w)
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
	var list []sent
	end := time.Now().Add(calmBefore + troubleFor + calmAfter)
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			c := &caller{
				address: s.entries[n%len(s.entries)].front(),
			}
			for i := n; time.Now().Before(end); i++ {
				x := call(c, forms[i%len(forms)])
				lock.Lock()
				list = append(list, x)
				lock.Unlock()
				time.Sleep(pauseBetween)
			}
		})
	}
	time.Sleep(calmBefore)
	if trouble {
		workers[0].setLoseShare(lostShare)
		s.note("worker %s loses %.0f in 100 of its answers", workers[0].id, 100*lostShare)
	}
	time.Sleep(troubleFor)
	workers[0].setLoseShare(0)
	group.Wait()
	time.Sleep(time.Second)

	return s.judgeRuns(list), nil
}

// call sends a request of a form once.
func call(c *caller, f form) sent {
	x := sent{
		id:   randomID(),
		form: f,
	}
	headers, body := "", ""
	if f.body {
		body = strings.Repeat("b", 600)
	}
	if f.key {
		headers = "Idempotency-Key: " + x.id + "\r\n"
	}
	var stamp, text string
	x.status, stamp, text, x.err = c.send(f.method, f.path, x.id, headers, body)
	if x.err == nil && x.status == http.StatusOK && (stamp == "" || text != strings.Repeat("x", 800)) {
		x.err = errors.New("wrong answer")
	}

	return x
}

// judgeRuns checks the rules TWICE and REFUSED.
func (s *site) judgeRuns(list []sent) int {
	code := held
	counts := map[string]map[string]int{}
	for _, f := range forms {
		counts[f.name] = map[string]int{}
	}
	for _, x := range list {
		runs := s.fleet.of(x.id)
		n := counts[x.form.name]
		n["sent"]++
		if x.status == http.StatusOK {
			n["answered 200"]++
		}
		for _, e := range runs {
			if e.outcome == "lost" {
				n["answer lost"]++

				break
			}
		}
		promised := x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests || x.status == 408 || x.status == 421
		if promised && len(runs) > 0 {
			n["refused but run"]++
			s.note("REFUSED is broken: request %s (%s) was answered %d and has run", x.id, x.form.name, x.status)
			code = broken
		}
		if len(runs) > 1 {
			n["run more than once"]++
			code = broken
			text := ""
			for _, e := range runs {
				text += fmt.Sprintf("; at %s from %.3f s, %s", e.worker, e.began.Sub(s.began).Seconds(), e.outcome)
			}
			s.note("TWICE is broken: request %s (%s) was sent once, answered %d, and ran %d times%s", x.id, x.form.name, x.status, len(runs), text)
		}
	}
	for _, f := range forms {
		s.note("%s: %v", f.name, counts[f.name])
	}

	return code
}
