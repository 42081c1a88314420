//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// pathCase: a new version of the configuration adds a batch route whose prefix has an escaped letter.
func pathCase(s *site) (int, error) {
	s.configure()
	if err := s.startPlain(deskCount); err != nil {
		return failed, err
	}
	for n := range engineCount {
		if _, err := s.startWorker(fmt.Sprintf("i-llm-%d", n+1), service, 1, 8); err != nil {
			return failed, err
		}
	}
	if err := s.startEdges(edgeCount); err != nil {
		return failed, err
	}
	prefix := "/sheets/"
	if s.trouble {
		prefix = "/t%C5%B7-mawr/"
		s.configure(map[string]any{
			"name": "ty-mawr", "host": host, "path_prefix": prefix, "route_type": "batch", "service": service, "timeout_ms": 15000,
			"target_latency_ms": 400, "gap_target_ms": 400, "max_attempts": 3, "priority": 2, "session_affinity": true,
			"completion_target_ms": 18000, "max_queue_s": 60, "max_count": 2800000,
		})
		s.note("the operator writes version %d, which adds the batch route %s", s.version, prefix)
		time.Sleep(5 * time.Second)
	}
	const job = "7c41e09b52d6a3f8"
	items := sheets(job, 10)
	for k := range items {
		items[k].Path = prefix + "1/" + items[k].ID
	}
	if err := s.submitAt(prefix+job, job, 0, items); err != nil {
		return failed, err
	}
	if err := s.await(20*time.Second, "all items are listed", func() bool { return len(s.readAll(job)) == len(items) }); err != nil {
		return failed, err
	}
	a, err := s.call(s.edges[1], http.MethodGet, "/v1/lots/"+job+"?after=0", "", nil, "", 5*time.Second)
	s.note("job %s read at %s: status %d %v", job, s.edges[1].name, a.status, err)
	bad := 0
	for _, r := range s.readAll(job) {
		runs := 0
		for _, w := range s.workers {
			runs += w.runsOf(r.ID)
		}
		s.note("item %s: %s, %d bytes, runs at workers: %d", r.ID, r.State, len(r.Text), runs)
		if r.State == "dead_letter" {
			bad++
		}
	}
	if bad > 0 {
		s.note("MIXED is broken: %d items are dead_letter before a 422, max_attempts answers of 500, max_queue_s, the end of their batch job or of its route", bad)

		return broken, nil
	}

	return held, nil
}
