package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// loseAfter is when the machines are lost, after the job was accepted.
	loseAfter = time.Second
	// aloneEvents and alonePause make an item that takes 3.9 s.
	aloneEvents = 196
	alonePause  = 20 * time.Millisecond
	// aloneWatch is how long the job is read: longer than due and finish_s together, and beyond max_queue_s.
	aloneWatch = 95 * time.Second
)

// alone: two of three entry machines are lost for good, among them the one that runs a job.
func alone(s *site, trouble bool) (int, error) {
	s.configure(batchRoute("/pule252/", 60))
	for _, zone := range []string{"taff-a", "taff-b", "menai-a"} {
		w, err := s.addWorker("dele69a", zone, 8, true)
		if err != nil {
			return unable, err
		}
		w.events, w.pause = aloneEvents, alonePause
	}
	for _, zone := range []string{"taff-a", "taff-b", "menai-a"} {
		if _, err := s.addEntry(zone, s.store.address()); err != nil {
			return unable, err
		}
	}
	if err := s.startAll(); err != nil {
		return unable, err
	}
	j := newJob("/pule252/", 10, 1500)
	j.sentAt = time.Now()
	status, text, err := j.submit(s.entries[1].front(), patience)
	s.note("job %s (%d items) sent to %s: status %d %.80q, error %v", j.id, len(j.items), s.entries[1].name, status, text, err)
	if status != http.StatusAccepted {
		return unable, fmt.Errorf("job not accepted: status %d", status)
	}
	j.acceptedAt = time.Now()
	if trouble {
		time.Sleep(loseAfter)
		for _, e := range s.entries[1:] {
			s.kill(e)
		}
		s.note("%s and %s are lost for good", s.entries[1].name, s.entries[2].name)
	}
	code := held
	judged := false
	for time.Since(j.sentAt) < aloneWatch && len(j.listed) < len(j.items) {
		before := len(j.listed)
		status := j.read(s.entries[0].front())
		if status != http.StatusOK || len(j.listed) != before {
			s.note("%.1f s after it was sent, read at %s: status %d, %d of %d listed", time.Since(j.sentAt).Seconds(), s.entries[0].name, status,
				len(j.listed), len(j.items))
		}
		if !judged && time.Since(j.sentAt) > due+finish && len(j.listed) < len(j.items) {
			judged = true
			idle := s.fleet.idleFor(calmTime)
			s.note("finish_s after it was due, %d of %d items are listed; no request at any worker in the last 5 s: %t", len(j.listed), len(j.items), idle)
			if idle {
				code = broken
				s.note("LOST is broken for job %s", j.id)
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
	dead, runs := 0, 0
	for _, it := range j.items {
		if j.listed[it.ID].State == "dead_letter" {
			dead++
		}
		runs += len(s.fleet.of(it.ID))
	}
	s.note("job %s: %d of %d items listed %.1f s after it was sent, %d of them as dead_letter; runs at workers: %d", j.id, len(j.listed), len(j.items),
		time.Since(j.sentAt).Seconds(), dead, runs)

	return code, nil
}
