//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// sheetEvents is the number of events of a sheet, longestEvents that of the longest of them, and eventBytes the size of the largest event.
	sheetEvents, longestEvents, eventBytes = 196, 314, 420
	// longer is how many times as long a long sheet takes.
	longer = 3
	// eventGap is the time of 8 tokens on an engine.
	eventGap = 24 * time.Millisecond
)

// largeCase: one of 20 jobs takes several times as long as the others; its sheets are long tables.
func largeCase(s *site) (int, error) {
	const jobs = 20
	s.configure()
	if err := s.startPlain(1); err != nil {
		return failed, err
	}
	for n := range 3 {
		w, err := s.startWorker(fmt.Sprintf("i-llm-%d", n+1), service, 1, 8)
		if err != nil {
			return failed, err
		}
		w.gap = eventGap
		w.events = func(_ *http.Request, body []byte) []string {
			row := "<tr><td>a</td><td>b</td><td>7</td></tr>"
			if strings.HasPrefix(string(body), "long") {
				return repeat(strings.Repeat(row, eventBytes/len(row)), longer*longestEvents)
			}

			return repeat(row, sheetEvents)
		}
	}
	if err := s.startEdges(2); err != nil {
		return failed, err
	}
	sent := map[string][]item{}
	for n := range jobs {
		job := fmt.Sprintf("7c41e09b%04x52d6", n)
		items := sheets(job, 2)
		if n == jobs/2 && s.trouble {
			for k := range items {
				items[k].Body = []byte("long " + string(items[k].Body))
			}
			s.note("job %s takes %d times as long", job, longer)
		}
		if err := s.submit(job, n, items); err != nil {
			return failed, err
		}
		sent[job] = items
		time.Sleep(time.Second)
	}
	// The long items run for longer*longestEvents*eventGap.
	if err := s.await(40*time.Second, "no worker has an item", func() bool { return s.activeItems() == 0 }); err != nil {
		s.note("%v", err)
	}

	return s.judgeLost(sent)
}

func repeat(data string, count int) []string {
	list := make([]string, count)
	for n := range list {
		list[n] = data
	}

	return list
}

// activeItems returns how many requests the engines work on.
func (s *site) activeItems() (count int) {
	for _, w := range s.workers {
		if w.service == service {
			count += w.active()
		}
	}

	return count
}
