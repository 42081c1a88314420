//go:build review2

package main

import (
	"fmt"
	"net/http"
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

// workers starts workers of both services and registers them.
func (s *site) workers(models, slots, events int, pause time.Duration) ([]*worker, error) {
	var list []*worker
	for n := range models + len(s.zones) {
		zone := s.zones[n%len(s.zones)]
		var w *worker
		var err error
		if n < models {
			w, err = newWorker(fmt.Sprintf("i-m%02d", n), "huvo11a", zone, slots, events, pause, s.runs)
		} else {
			w, err = newWorker(fmt.Sprintf("i-p%02d", n), "wuno96b", zone, 6, 0, 15*time.Millisecond, s.runs)
		}
		if err != nil {
			return nil, err
		}
		s.store.put("servers", w.id, w.entry())
		list = append(list, w)
	}

	return list, nil
}

// catchAll: a new version of the configuration adds a route whose prefix is a single slash on the host of the batch route.
func catchAll(s *site, trouble bool) (int, error) {
	if err := s.addInstances(3); err != nil {
		return notRun, err
	}
	const events = 100
	if _, err := s.workers(3, 4, events, 20*time.Millisecond); err != nil {
		return notRun, err
	}
	s.store.put("config", "main", configuration(7, batchRoute(), safeRoute("r-plain", "/puxa403/")))
	if err := s.startAll(); err != nil {
		return notRun, err
	}
	done, ended := newLot("/pule252/", 4, 2000), newLot("/pule252/", 150, 2000)
	for n, l := range []*lot{done, ended} {
		if status := s.submit(s.instances[n], l); status != http.StatusAccepted {
			return notRun, fmt.Errorf("a lot was answered with %d", status)
		}
	}
	before := s.readAll(s.instances, done, time.Now().Add(10*time.Second))
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

	// The end counts as acknowledged after ack_ms in any case.
	asked := time.Now()
	acknowledged := time.Time{}
	for n := 0; time.Since(asked) < 5*time.Second && acknowledged.IsZero(); n++ {
		status, _, _ := s.call(s.instances[n%3], http.MethodDelete, "/v1/lots/"+ended.id, nil, nil, 2500*time.Millisecond)
		if status == http.StatusOK {
			acknowledged = time.Now()
		} else {
			time.Sleep(300 * time.Millisecond)
		}
	}
	if acknowledged.IsZero() {
		acknowledged = asked.Add(5 * time.Second)
		s.log("the end of lot %s got no acknowledgement in 5 s", ended.id)
	}
	again := s.readAll(s.instances, done, time.Now().Add(10*time.Second))
	time.Sleep(max(0, time.Until(acknowledged.Add(8*time.Second))))
	late := s.runs.after(ended.ids(), acknowledged.Add(3*time.Second))
	s.log("lot %s: %d results read before, %d now", done.id, len(before), len(again))
	s.log("lot %s: %d runs of its items reached workers later than 3 s after its end", ended.id, len(late))
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
