//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "huvo11a", "health_path": "/healthz", "max_connections": 300, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8}},
			{"name": "wuno96b", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func batchRoute() map[string]any {
	return map[string]any{
		"name": "r-batch", "host": host, "path_prefix": "/pule252/", "route_type": "batch", "timeout_ms": 15000, "target_latency_ms": 400,
		"completion_target_ms": 18000, "max_queue_s": 60, "max_count": 2800000, "priority": 2, "service": "huvo11a", "max_attempts": 3,
		"session_affinity": true, "resumable": true, "gap_target_ms": 400,
	}
}

func safeRoute(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_type": "safe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
		"service": "wuno96b", "max_attempts": 2,
	}
}

const (
	// models and modelSlots are the model workers of the sheet, itemEvents and eventPause an item of ordinary length there.
	models     = 12
	modelSlots = 8
	itemEvents = 196
	eventPause = 25 * time.Millisecond
)

// startWorkers starts the workers of both services and registers them.
func (s *site) startWorkers() error {
	for n := range models + len(s.zones) {
		zone := s.zones[n%len(s.zones)]
		var w *worker
		var err error
		if n < models {
			w, err = newWorker(fmt.Sprintf("i-m%02d", n), "huvo11a", zone, modelSlots, itemEvents, eventPause, s.runs)
		} else {
			w, err = newWorker(fmt.Sprintf("i-p%02d", n), "wuno96b", zone, 6, 0, 15*time.Millisecond, s.runs)
		}
		if err != nil {
			return err
		}
		s.store.put("servers", w.id, w.entry())
	}

	return nil
}

// catchAll: a new version of the configuration adds a route whose prefix is a single slash on the host of the batch route.
func catchAll(s *site, trouble bool) (int, error) {
	if err := s.addInstances(7); err != nil {
		return notRun, err
	}
	if err := s.startWorkers(); err != nil {
		return notRun, err
	}
	s.store.put("config", "main", configuration(7, batchRoute(), safeRoute("r-plain", "/puxa403/")))
	if err := s.startAll(); err != nil {
		return notRun, err
	}
	// The items of three lots of the largest size take some 30 s.
	done := newLot("/pule252/", 4, 2000)
	var ended []*lot
	late := map[string]bool{}
	for range 3 {
		ended = append(ended, newLot("/pule252/", 200, 2000))
	}
	for n, l := range append([]*lot{done}, ended...) {
		if status := s.submit(s.instances[n], l); status != http.StatusAccepted {
			return notRun, fmt.Errorf("a lot was answered with %d", status)
		}
	}
	before := s.readAll(s.instances, done, time.Now().Add(12*time.Second))
	if len(before) != len(done.items) {
		return notRun, fmt.Errorf("%d results of the first lot", len(before))
	}
	added := "/added50/"
	if trouble {
		added = "/"
	}
	s.log("the operator adds a route with the prefix %q", added)
	s.store.put("config", "main", configuration(9, batchRoute(), safeRoute("r-plain", "/puxa403/"), safeRoute("r-added", added)))
	time.Sleep(3500 * time.Millisecond)

	last := time.Time{}
	ends := map[*lot]time.Time{}
	var group sync.WaitGroup
	var lock sync.Mutex
	for _, l := range ended {
		group.Go(func() {
			at := s.end(l)
			lock.Lock()
			defer lock.Unlock()
			ends[l] = at
		})
	}
	group.Wait()
	for _, at := range ends {
		if at.After(last) {
			last = at
		}
	}
	again := s.readAll(s.instances, done, time.Now().Add(10*time.Second))
	time.Sleep(max(0, time.Until(last.Add(8*time.Second))))
	for l, at := range ends {
		for _, x := range s.runs.after(l.ids(), at.Add(3*time.Second)) {
			late[x.id] = true
		}
	}
	s.log("lot %s: %d results read before, %d now", done.id, len(before), len(again))
	s.log("%d items of the ended lots reached workers later than 3 s after their ends", len(late))
	if len(again) < len(before) || len(late) > 0 {
		return broken, nil
	}
	for n, r := range again {
		if r != before[n] {
			s.log("position %d: another result than before", n)

			return broken, nil
		}
	}

	return held, nil
}

// end ends a lot and returns when that was acknowledged, or counts as acknowledged: ack_ms after it was first asked.
func (s *site) end(l *lot) time.Time {
	asked := time.Now()
	for n := 0; time.Since(asked) < 5*time.Second; n++ {
		status, _, _ := s.call(s.instances[n%len(s.instances)], http.MethodDelete, "/v1/lots/"+l.id, nil, nil, 2500*time.Millisecond)
		if status == http.StatusOK {
			return time.Now()
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.log("the end of lot %s got no acknowledgement in 5 s", l.id)

	return asked.Add(5 * time.Second)
}
