//go:build review3

package main

import (
	"net/http"
	"time"
)

const (
	// sheetEvents is the number of events of a sheet, and eventGap the time of 8 tokens on an engine.
	sheetEvents = 196
	eventGap    = 24 * time.Millisecond
)

// longSheet returns the events of a sheet of a length.
func longSheet(events int) func(*http.Request, []byte) []string {
	list := make([]string, events)
	for n := range list {
		list[n] = "a line of the sheet, of some seventy bytes as on the page of the site...."
	}

	return func(*http.Request, []byte) []string { return list }
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
