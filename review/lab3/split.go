//go:build review3

package main

import (
	"fmt"
	"time"
)

// splitCase: a new version of the configuration adds an online route below the prefix of a batch route, under which a job is open.
func splitCase(s *site) (int, error) {
	const preview = "/sheets/gallery-7/"
	s.configure()
	if err := s.startPlain(deskCount); err != nil {
		return failed, err
	}
	for n := range engineCount {
		w, err := s.startWorker(fmt.Sprintf("i-llm-%d", n+1), service, 1, 8)
		if err != nil {
			return failed, err
		}
		w.gap = eventGap
		w.events = longSheet(sheetEvents)
	}
	if err := s.startEdges(edgeCount); err != nil {
		return failed, err
	}
	const job = "7c41e09b52d6a3f8"
	items := sheets(job, 200)
	if err := s.submitAt(preview+job, job, 0, items); err != nil {
		return failed, err
	}
	if err := s.await(10*time.Second, "items run", func() bool { return s.activeItems() > engineCount }); err != nil {
		return failed, err
	}
	if s.trouble {
		s.configure(map[string]any{
			"name": "gallery-7-preview", "host": host, "path_prefix": preview, "route_type": "streaming", "service": service, "timeout_ms": 5000,
			"target_latency_ms": 300, "gap_target_ms": 400, "max_attempts": 2, "priority": 0, "resumable": true, "session_affinity": true,
		})
		s.note("the operator writes version %d, which adds the streaming route %s and leaves the batch route /sheets/ as it is", s.version, preview)
	}
	if err := s.await(40*time.Second, "all items are listed", func() bool { return len(s.readAll(job)) == len(items) }); err != nil {
		return failed, err
	}
	bad, completed := 0, 0
	for _, r := range s.readAll(job) {
		runs := 0
		for _, w := range s.workers {
			runs += w.runsOf(r.ID)
		}
		s.note("item %s: %s, %d bytes, runs at workers: %d", r.ID, r.State, len(r.Text), runs)
		if r.State == "dead_letter" {
			bad++
		} else {
			completed++
		}
	}
	s.note("%d items are completed, %d are dead_letter", completed, bad)
	if bad > 0 {
		s.note("MIXED is broken: %d items are dead_letter before a 422, max_attempts answers of 500, max_queue_s, the end of their batch job or of its route", bad)

		return broken, nil
	}

	return held, nil
}
