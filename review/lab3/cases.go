//go:build review3

package main

import (
	"fmt"
	"time"
)

// startPlain starts the workers of the plain service.
func (s *site) startPlain(count int) error {
	for n := range count {
		w, err := s.startWorker(fmt.Sprintf("i-desk-%d", n+1), plainService, 1, 6)
		if err != nil {
			return err
		}
		w.plain = plainAnswer
	}

	return nil
}

// sheet returns an item of a batch job.
func sheet(id string) item {
	return item{
		ID:   id,
		Path: "/sheets/1/" + id,
		Headers: map[string]string{
			"X-Tarragonwalk-Model": "m", "X-Tarragonwalk-Token-Usage": "350,1600", "X-Tarragonwalk-Prefix-Hash": "9c2e41:100,5d07" + id[len(id)-4:] + ":250",
		},
		Body:   []byte("prompt of " + id),
		Tokens: 1950,
	}
}

// sheets returns the items of a job.
func sheets(job string, count int) (items []item) {
	for k := range count {
		items = append(items, sheet(fmt.Sprintf("%s%04x", job[:12], k)))
	}

	return items
}

// judgeLost waits for finish_s and judges LOST for open jobs: an item is listed neither as completed nor as dead_letter, though in the last
// 5 s no worker had an item and none was finished.
func (s *site) judgeLost(jobs map[string][]item) (int, error) {
	over := time.Now().Add(finish)
	s.note("the traffic has ended, finish_s begins")
	busyAt := time.Now()
	total, listed := 0, 0
	for _, items := range jobs {
		total += len(items)
	}
	for listed < total && (time.Now().Before(over) || time.Since(busyAt) < calm) && time.Since(over) < 10*time.Second {
		for _, w := range s.workers {
			if w.service == service && w.active() > 0 {
				busyAt = time.Now()
			}
		}
		found := 0
		for id := range jobs {
			found += len(s.readAll(id))
		}
		if found > listed {
			listed, busyAt = found, time.Now()
			s.note("%d of %d items are listed", listed, total)
		}
		time.Sleep(250 * time.Millisecond)
	}
	lost := 0
	for id, items := range jobs {
		found := s.readAll(id)
		for _, it := range items {
			if _, ok := found[it.ID]; !ok {
				lost++
				s.note("item %s of the accepted job %s is not listed", it.ID, id)
			}
		}
	}
	s.note("%d of %d items are not listed; workers had an item, or one was finished, %.1f s ago", lost, total, time.Since(busyAt).Seconds())
	if lost > 0 && time.Since(busyAt) >= calm {
		s.note("LOST is broken: finish_s is over, and in the last 5 s no worker had an item")

		return broken, nil
	}
	if lost > 0 {
		return failed, fmt.Errorf("workers were busy until the end")
	}

	return held, nil
}
