//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	// finishTime is finish_s of the settings.
	finishTime = 18 * time.Second
	// trafficTime is how long traffic goes on after the loss, so that no run was cut in the last 20 s when the items are judged.
	trafficTime = 4 * time.Second
)

// countOf returns a number from the environment.
func countOf(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}

	return otherwise
}

// lotsEverywhere starts a site and hands a lot in at each instance.
func (s *site) lotsEverywhere(instances int) ([]*lot, error) {
	if err := s.addInstances(instances); err != nil {
		return nil, err
	}
	if _, err := s.workers(6, 8, 100, 20*time.Millisecond); err != nil {
		return nil, err
	}
	s.store.put("config", "main", configuration(7, batchRoute(), safeRoute("r-plain", "/puxa403/")))
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var lots []*lot
	for _, i := range s.instances {
		l, err := s.accepted(i)
		if err != nil {
			return nil, err
		}
		lots = append(lots, l)
	}

	return lots, nil
}

// accepted hands in a lot that has to be accepted.
func (s *site) accepted(i *instance) (*lot, error) {
	l := newLot("/pule252/", 6, 2000)
	if status := s.submit(i, l); status != http.StatusAccepted {
		return nil, fmt.Errorf("a lot was answered with %d", status)
	}

	return l, nil
}

// judgeAfterTraffic ends the traffic with one more lot, waits for finish_s, and reads all lots at the live instances.
func (s *site) judgeAfterTraffic(live []*instance, lots []*lot) (int, error) {
	time.Sleep(trafficTime)
	last, err := s.accepted(live[0])
	if err != nil {
		return notRun, err
	}
	s.log("the traffic has ended")
	time.Sleep(finishTime)

	return s.judgeListed(live, append(lots, last))
}

// lastOne: all machines but one are lost for good, right after they have accepted batch jobs.
func lastOne(s *site, trouble bool) (int, error) {
	lots, err := s.lotsEverywhere(countOf("COUNT", 3))
	if err != nil {
		return notRun, err
	}
	live := s.instances
	if trouble {
		for _, i := range s.instances[1:] {
			_ = i.signal(os.Kill)
		}
		live = s.instances[:1]
		s.log("all machines but that of %s are lost for good", live[0].name)
	}

	return s.judgeAfterTraffic(live, lots)
}

// fewBack: all processes are killed at the same moment, right after they have accepted batch jobs. Some are back within a second, the
// machines of the others are lost for good.
func fewBack(s *site, trouble bool) (int, error) {
	lots, err := s.lotsEverywhere(7)
	if err != nil {
		return notRun, err
	}
	live := s.instances
	if trouble {
		for _, i := range s.instances {
			_ = i.signal(os.Kill)
		}
		live = s.instances[:countOf("BACK", 3)]
		time.Sleep(700 * time.Millisecond)
		for _, i := range live {
			if err := s.start(i); err != nil {
				return notRun, err
			}
		}
		s.log("all processes were killed; %d are back, the machines of the others are lost for good", len(live))
	}

	return s.judgeAfterTraffic(live, lots)
}

// judgeListed reads all lots once. If an item is not listed, it goes on reading for a while to tell when all are.
func (s *site) judgeListed(live []*instance, lots []*lot) (int, error) {
	ended := time.Now()
	lastStart := time.Time{}
	listed, items := 0, 0
	for n, l := range lots {
		for _, r := range s.runs.after(l.ids(), time.Time{}) {
			if r.at.After(lastStart) {
				lastStart = r.at
			}
		}
		items += len(l.items)
		for after := 0; after < len(l.items); {
			page, status, ok := s.read(live[n%len(live)], l, after)
			if !ok {
				return notRun, fmt.Errorf("a read was answered with %d", status)
			}
			for _, r := range page.Results {
				if r.State != "completed" || r.Text != itemText(r.ID, 100) {
					return notRun, fmt.Errorf("item %s is listed as %s, or with another text", r.ID, r.State)
				}
			}
			listed += len(page.Results)
			after = page.Next
			if len(page.Results) == 0 {
				break
			}
		}
	}
	s.log("finish_s after the end of the traffic: %d of %d items are listed; the last run of one began %.1f s ago", listed, items, ended.Sub(lastStart).Seconds())
	if listed == items {
		return held, nil
	}
	until := ended.Add(45 * time.Second)
	for _, l := range lots {
		results := s.readAll(live, l, until)
		s.log("lot %s: %d of %d items are listed %.1f s later", l.id, len(results), len(l.items), time.Since(ended).Seconds())
	}

	return broken, nil
}
