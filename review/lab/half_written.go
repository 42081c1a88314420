package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// regionDelay and regionMegabits are the link between the regions, as on the sheet.
	regionDelay    = 12 * time.Millisecond
	regionMegabits = 30
	// patience is how long a client waits for the answer to a job: the deadline of its kind of request on the sheet.
	patience = 4 * time.Second
	// powerOffAfter is when the machine loses power, after the jobs were sent. Their items take about a second on their way to the store.
	powerOffAfter = 300 * time.Millisecond
	// darkFor is how long it has none: the for_s of node_kill with power in the site file.
	darkFor = 3500 * time.Millisecond
	// settle is the bound settle_ms.
	settle = time.Second
	// due and finish are completion_target_ms of the route and the bound finish_s.
	due    = 18 * time.Second
	finish = 18 * time.Second
	// calmTime is how long no worker may have had an item of a job that counts as left lying.
	calmTime = 5 * time.Second
)

// halfWritten: an entry instance loses power while it writes an accepted job's items; its client, which has no answer, sends the job
// again to another instance.
func halfWritten(s *site, trouble bool) (int, error) {
	s.configure(batchRoute("/pule252/", 60))
	region, err := newLink(s.prefix+".201:0", s.store.address(), regionDelay, regionMegabits)
	if err != nil {
		return unable, err
	}
	for _, zone := range []string{"taff-a", "menai-a", "taff-b"} {
		for range 2 {
			if _, err := s.addWorker("dele69a", zone, 8, true); err != nil {
				return unable, err
			}
		}
	}
	for _, zone := range []string{"taff-a", "taff-b", "menai-a", "taff-a", "menai-a", "taff-a", "taff-b"} {
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
	first := s.entries[2]
	door, err := newLink(s.prefix+".202:0", first.front(), time.Millisecond, 0)
	if err != nil {
		return unable, err
	}
	jobs := []*batchJob{newJob("/pule252/", 100, 14000), newJob("/pule252/", 100, 14000)}
	done := make(chan struct{}, len(jobs))
	for _, j := range jobs {
		go func() {
			s.submitUntilAccepted(j, first, door)
			done <- struct{}{}
		}()
	}
	if trouble {
		time.Sleep(powerOffAfter)
		door.dark.Store(true)
		s.kill(first)
		s.note("%s has lost power", first.name)
		for _, j := range jobs {
			s.note("in the store for job %s: record %t, parts %v", j.id, s.store.spec("jobs", j.id) != "", s.store.names("job-parts", j.id))
		}
		time.AfterFunc(darkFor, func() {
			door.dark.Store(false)
			if err := s.start(first); err != nil {
				s.note("%s not started: %s", first.name, err)

				return
			}
			s.note("%s has power again", first.name)
		})
	}
	for range jobs {
		<-done
	}

	return s.judgeJobs(jobs, first, trouble)
}

// submitUntilAccepted sends a job, first through a link to one entry, then to other entries that an instance names, as a client does.
func (s *site) submitUntilAccepted(j *batchJob, first *entry, door *link) {
	address, name := door.address(), first.name
	j.sentAt = time.Now()
	// The sheet gives clients of this kind one retry.
	for range 2 {
		status, text, err := j.submit(address, patience)
		s.note("job %s (%d items, %d bytes) sent to %s: status %d %.80q, error %v", j.id, len(j.items), len(j.body), name, status, text, err)
		if status == http.StatusAccepted {
			j.acceptedAt, j.acceptedBy = time.Now(), name

			return
		}
		list := resolve(s.entries[0], first.zone)
		list = slices.DeleteFunc(list, func(a string) bool { return a == first.front() })
		if len(list) == 0 {
			list = resolve(s.entries[0], "")
			list = slices.DeleteFunc(list, func(a string) bool { return a == first.front() })
		}
		if len(list) == 0 {
			return
		}
		address = list[rand.IntN(len(list))]
		name = s.nameOf(address)
	}
}

func (s *site) nameOf(front string) string {
	for _, e := range s.entries {
		if e.front() == front {
			return e.name
		}
	}

	return front
}

// judgeJobs reads accepted jobs at all instances but the lost one until finish_s after they were due, and checks the rule LOST.
func (s *site) judgeJobs(jobs []*batchJob, lost *entry, trouble bool) (int, error) {
	var others []*entry
	for _, e := range s.entries {
		if e != lost || !trouble {
			others = append(others, e)
		}
	}
	missing := map[string]int{}
	end := time.Now().Add(due + finish)
	for _, j := range jobs {
		if j.acceptedAt.IsZero() {
			return unable, fmt.Errorf("job %s was not accepted", j.id)
		}
		end = j.sentAt.Add(due + finish)
	}
	for time.Now().Before(end) {
		open := false
		for _, j := range jobs {
			if len(j.listed) == len(j.items) {
				continue
			}
			open = true
			e := others[rand.IntN(len(others))]
			status := j.read(e.front())
			if time.Since(j.acceptedAt) > settle && len(j.listed) < len(j.items) {
				it := j.items[rand.IntN(len(j.items))]
				if _, listed := j.listed[it.ID]; !listed && !s.finished(it.ID) {
					e := others[rand.IntN(len(others))]
					code, _ := j.fetchBody(e.front(), it.ID)
					if code == http.StatusNotFound || code == http.StatusGone {
						missing[j.id]++
					}
					s.note("job %s read: status %d, %d of %d listed; body of item %s at %s: status %d", j.id, status, len(j.listed), len(j.items),
						it.ID, e.name, code)
				}
			}
		}
		if !open {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	code := held
	idle := s.fleet.idleFor(calmTime)
	s.note("no request at any worker in the last 5 s: %t", idle)
	for _, j := range jobs {
		unlisted, ran := 0, 0
		for _, it := range j.items {
			if _, ok := j.listed[it.ID]; !ok {
				unlisted++
			}
			ran += len(s.fleet.of(it.ID))
		}
		s.note("job %s: accepted by %s %.1f s after it was sent; %d of %d items not listed %.1f s after it was sent; %d runs at workers, %d at work now; 404 or 410 for bodies of accepted items: %d",
			j.id, j.acceptedBy, j.acceptedAt.Sub(j.sentAt).Seconds(), unlisted, len(j.items), time.Since(j.sentAt).Seconds(), ran, s.fleet.active(), missing[j.id])
		for _, x := range j.listed {
			if x.State == "completed" && x.Text != wholeText(x.ID, 20) {
				s.note("wrong text of item %s", x.ID)
				code = broken
			}
		}
		if unlisted > 0 && idle || missing[j.id] > 0 {
			s.note("LOST is broken for job %s", j.id)
			code = broken
		}
	}

	return code, nil
}

// finished reports whether a worker has finished an item.
func (s *site) finished(item string) bool {
	for _, e := range s.fleet.of(item) {
		if e.outcome == "answered" {
			return true
		}
	}

	return false
}
