//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// catchallCase: a new version of the configuration adds a route for all paths of the host that no other route has.
func catchallCase(s *site) (int, error) {
	s.configure()
	if err := s.startPlain(2); err != nil {
		return failed, err
	}
	for n := range 2 {
		if _, err := s.startWorker(fmt.Sprintf("i-llm-%d", n+1), service, 1, 8); err != nil {
			return failed, err
		}
	}
	if err := s.startEdges(2); err != nil {
		return failed, err
	}
	const job = "7c41e09b52d6a3f8"
	items := sheets(job, 10)
	if err := s.submit(job, 0, items); err != nil {
		return failed, err
	}
	if err := s.await(30*time.Second, "all items are listed", func() bool { return len(s.readAll(job)) == len(items) }); err != nil {
		return failed, err
	}
	s.note("job %s: all %d results were read", job, len(items))
	if s.trouble {
		s.configure(map[string]any{
			"name": "other-pages", "host": host, "path_prefix": "/", "route_type": "safe", "service": plainService, "timeout_ms": 1500,
			"target_latency_ms": 150, "max_attempts": 2, "priority": 2,
		})
		s.note("the operator writes version %d, which adds the route / to service %s", s.version, plainService)
	}
	time.Sleep(5 * time.Second)
	lost := 0
	for n := range 6 {
		e := s.edges[n%len(s.edges)]
		a, err := s.call(e, http.MethodGet, "/v1/lots/"+job+"?after=0", fmt.Sprintf("d%015x", n), nil, "", 5*time.Second)
		p, _, _ := s.read(e, job, 0)
		s.note("job %s read from the start at %s: status %d %v, %d results, total %d, body begins %.60q", job, e.name, a.status, err, len(p.Results), p.Total, a.body)
		if len(p.Results) == 0 {
			lost++
		}
		time.Sleep(time.Second)
	}
	if lost == 6 {
		s.note("LOST is broken: the batch job can't be read any more, and results that had been read don't come again")

		return broken, nil
	}

	return held, nil
}
