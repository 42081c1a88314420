//go:build review2

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

type lot struct {
	id    string
	path  string
	items []lotItem
}

type lotItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

func newLot(prefix string, items, bytes int) *lot {
	l := &lot{id: newID()}
	l.path = prefix + l.id[:6]
	shared := newID()[:8]
	for range items {
		id := newID()
		body := make([]byte, bytes)
		for k := range body {
			body[k] = byte(rand.Uint32())
		}
		l.items = append(l.items, lotItem{
			ID:     id,
			Path:   prefix + "3/" + id[:4],
			Body:   base64.StdEncoding.EncodeToString(body),
			Tokens: 563,
			Headers: map[string]string{
				"X-Tarragonwalk-Model": "m", "X-Tarragonwalk-Token-Usage": "350,213",
				"X-Tarragonwalk-Prefix-Hash": shared + ":100," + id[:8] + ":250",
			},
		})
	}

	return l
}

func (l *lot) ids() map[string]bool {
	ids := map[string]bool{}
	for _, it := range l.items {
		ids[it.ID] = true
	}

	return ids
}

// call makes one call on a new connection; status 0 means that there was no answer.
func (s *site) call(i *instance, method, path string, body []byte, header map[string]string, timeout time.Duration) (int, http.Header, []byte) {
	t := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	defer t.CloseIdleConnections()
	r, err := http.NewRequest(method, "http://"+i.address("frontend")+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c := http.Client{
		Transport: t,
		Timeout:   timeout,
	}
	p, err := c.Do(r)
	if err != nil {
		s.log("%s %s at %s: %s", method, path, i.name, err)

		return 0, nil, nil
	}
	defer p.Body.Close()
	answer, err := io.ReadAll(p.Body)
	if err != nil {
		s.log("%s %s at %s: %d, broken off: %s", method, path, i.name, p.StatusCode, err)

		return 0, nil, nil
	}
	shown := string(answer)
	if len(shown) > 120 {
		shown = shown[:120] + "..."
	}
	s.log("%s %s at %s: %d, stamp %q: %s", method, path, i.name, p.StatusCode, p.Header.Get(stampHeader), shown)

	return p.StatusCode, p.Header, answer
}

// submit hands a lot in at one instance.
func (s *site) submit(i *instance, l *lot) int {
	body, err := json.Marshal(map[string]any{"items": l.items})
	if err != nil {
		panic(err)
	}
	status, _, _ := s.call(i, http.MethodPost, l.path, body, map[string]string{
		idHeader:       l.id,
		"Content-Type": "application/json",
	}, 6*time.Second)

	return status
}

type lotResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type lotPage struct {
	Total   int         `json:"total"`
	Next    int         `json:"next"`
	Results []lotResult `json:"results"`
}

// read reads results of a lot from a position on; ok is false without a 200 that can be decoded.
func (s *site) read(i *instance, l *lot, after int) (page lotPage, status int, ok bool) {
	status, _, body := s.call(i, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", l.id, after), nil, map[string]string{waitHeader: "1000"}, 2500*time.Millisecond)
	if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
		return page, status, false
	}

	return page, status, true
}

// readAll reads a lot from the start until all results are there or the time is over.
func (s *site) readAll(instances []*instance, l *lot, until time.Time) []lotResult {
	var list []lotResult
	for n := 0; time.Now().Before(until) && len(list) < len(l.items); n++ {
		page, _, ok := s.read(instances[n%len(instances)], l, len(list))
		if ok {
			list = append(list, page.Results...)
		}
		if !ok || len(page.Results) == 0 {
			time.Sleep(300 * time.Millisecond)
		}
	}

	return list
}
