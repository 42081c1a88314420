package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// smallCount is max_count of the route: each of the two jobs of 37,000 tokens fits, both together do not. They stay within quota_overage.
const smallCount = 70000

// overLimit is a variant of halfWritten: the process is killed, so that its client notices at once, and the instance to which the client
// sends the job again has meanwhile accepted another one, beside which it does not fit.
func overLimit(s *site, trouble bool) (int, error) {
	route := batchRoute("/pule252/", 60)
	route["max_count"] = smallCount
	s.configure(route)
	region, err := newLink(s.prefix+".201:0", s.store.address(), regionDelay, regionMegabits)
	if err != nil {
		return unable, err
	}
	for _, zone := range []string{"taff-a", "menai-a", "taff-b"} {
		w, err := s.addWorker("dele69a", zone, 8, true)
		if err != nil {
			return unable, err
		}
		w.pause = 50 * time.Millisecond
	}
	for _, zone := range []string{"taff-a", "taff-b", "menai-a", "taff-a"} {
		address := s.store.address()
		if zones[zone] == "cymru-north" {
			address = region.address()
		}
		if _, err := s.addEntry(zone, address); err != nil {
			return unable, err
		}
	}
	if err := s.startAll(); err != nil {
		return unable, err
	}
	first, second := s.entries[2], s.entries[0]
	killed, other := newJob("/pule252/", 100, 14000), newJob("/pule252/", 100, 1000)
	done := make(chan struct{}, 2)
	go func() {
		defer func() { done <- struct{}{} }()
		time.Sleep(powerOffAfter / 2)
		other.sentAt = time.Now()
		status, text, err := other.submit(second.front(), patience)
		s.note("other job %s sent to %s: status %d %.60q, error %v", other.id, second.name, status, text, err)
		if status == http.StatusAccepted {
			other.acceptedAt, other.acceptedBy = time.Now(), second.name
		}
	}()
	go func() {
		defer func() { done <- struct{}{} }()
		killed.sentAt = time.Now()
		address, name := first.front(), first.name
		for time.Since(killed.sentAt) < 25*time.Second {
			status, text, err := killed.submit(address, patience)
			s.note("job %s sent to %s: status %d %.80q, error %v", killed.id, name, status, text, err)
			if status == http.StatusAccepted {
				killed.acceptedAt, killed.acceptedBy = time.Now(), name

				return
			}
			e := s.entries[rand.IntN(2)]
			address, name = e.front(), e.name
			if err == nil {
				time.Sleep(time.Second)
			}
		}
	}()
	if trouble {
		time.Sleep(powerOffAfter)
		s.kill(first)
		s.note("%s killed; in the store for job %s: record %t, parts %v", first.name, killed.id, s.store.spec("jobs", killed.id) != "",
			s.store.names("job-parts", killed.id))
		time.AfterFunc(restartAfter, func() {
			if err := s.start(first); err != nil {
				s.note("%s not started: %s", first.name, err)

				return
			}
			s.note("%s started again", first.name)
		})
	}
	<-done
	<-done

	return s.judgeJobs([]*batchJob{killed, other}, first, trouble)
}
