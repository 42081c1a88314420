//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// lostEnd: the connections to the store that are open go silent, and five seconds later an instance is killed right after it has
// acknowledged the end of a batch job that another one runs.
func lostEnd(s *site, trouble bool) (int, error) {
	if err := s.addInstances(7); err != nil {
		return notRun, err
	}
	if _, err := s.workers(12, 2, 100, 20*time.Millisecond); err != nil {
		return notRun, err
	}
	s.store.put("config", "main", configuration(7, batchRoute(), safeRoute("r-plain", "/puxa403/")))
	if err := s.startAll(); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		s.log("%d open connections to the store go silent; new ones work", s.store.silence())
	}
	time.Sleep(time.Second)
	l := newLot("/pule252/", 200, 2000)
	holder, other := s.instances[5], s.instances[6]
	if status := s.submit(holder, l); status != http.StatusAccepted {
		return notRun, fmt.Errorf("the lot was answered with %d", status)
	}
	// All machines have been in touch again for a while then.
	time.Sleep(5 * time.Second)
	status, _, _ := s.call(other, http.MethodDelete, "/v1/lots/"+l.id, nil, nil, 2500*time.Millisecond)
	acknowledged := time.Now()
	if trouble {
		_ = other.signal(os.Kill)
	}
	if status != http.StatusOK {
		return notRun, fmt.Errorf("the end was answered with %d", status)
	}
	time.Sleep(12 * time.Second)
	late := s.runs.after(l.ids(), acknowledged.Add(3*time.Second))
	s.log("lot %s: %d runs of its items reached workers later than 3 s after the acknowledgement of its end", l.id, len(late))
	if len(late) > 0 {
		s.log("the last of them %.1f s after it", late[len(late)-1].at.Sub(acknowledged).Seconds())

		return broken, nil
	}

	return held, nil
}
