package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

type batchItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

type batchResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// batchJob is a job as its client knows it.
type batchJob struct {
	id     string
	path   string
	items  []batchItem
	body   []byte
	sentAt time.Time
	// acceptedAt is when the first 202 came, and acceptedBy who gave it.
	acceptedAt time.Time
	acceptedBy string
	// listed are the results that were read, by item, and next the position after them.
	listed map[string]batchResult
	next   int
}

func randomID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// newJob returns a job with items whose bodies have a number of bytes.
func newJob(prefix string, items, bodyBytes int) *batchJob {
	j := &batchJob{
		id:     randomID(),
		listed: map[string]batchResult{},
	}
	j.path = prefix + j.id[:6]
	own := randomID()[:8]
	for n := range items {
		body := make([]byte, bodyBytes)
		for i := range body {
			body[i] = byte(rand.Uint32())
		}
		j.items = append(j.items, batchItem{
			ID:   randomID(),
			Path: fmt.Sprintf("%s%d/%04x", prefix, n, rand.IntN(1<<16)),
			Headers: map[string]string{
				"X-Tarragonwalk-Model":       "m",
				"X-Tarragonwalk-Token-Usage": "350,20",
				"X-Tarragonwalk-Prefix-Hash": own + ":100," + randomID()[:8] + ":250",
			},
			Body:   base64.StdEncoding.EncodeToString(body),
			Tokens: 370,
		})
	}
	j.body, _ = json.Marshal(map[string]any{"items": j.items})

	return j
}

// fresh returns a client that uses a new connection for each call.
func fresh(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
}

// submit sends a job once and returns the status, 0 if there was no answer in time.
func (j *batchJob) submit(address string, patience time.Duration) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+j.path, bytes.NewReader(j.body))
	if err != nil {
		return 0, "", err
	}
	r.Host = host
	r.Header.Set(headID, j.id)
	r.Header.Set("Content-Type", "application/json")
	p, err := fresh(patience).Do(r)
	if err != nil {
		return 0, "", err
	}
	defer p.Body.Close()
	text, _ := io.ReadAll(p.Body)

	return p.StatusCode, string(text), nil
}

// read reads results from a position and returns the status.
func (j *batchJob) read(address string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/lots/"+j.id+"?after="+strconv.Itoa(j.next), nil)
	if err != nil {
		return 0
	}
	r.Host = host
	r.Header.Set(headWait, "1000")
	p, err := fresh(2500 * time.Millisecond).Do(r)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	var answer struct {
		Total   int           `json:"total"`
		Next    int           `json:"next"`
		Results []batchResult `json:"results"`
	}
	if p.StatusCode != http.StatusOK || json.NewDecoder(p.Body).Decode(&answer) != nil {
		return p.StatusCode
	}
	for _, x := range answer.Results {
		j.listed[x.ID] = x
	}
	j.next = answer.Next

	return p.StatusCode
}

// fetchBody asks for the body of an item and returns the status and the bytes.
func (j *batchJob) fetchBody(address, item string) (int, []byte) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/items/"+j.id+"?id="+item, nil)
	if err != nil {
		return 0, nil
	}
	r.Host = host
	p, err := fresh(2500 * time.Millisecond).Do(r)
	if err != nil {
		return 0, nil
	}
	defer p.Body.Close()
	body, _ := io.ReadAll(p.Body)

	return p.StatusCode, body
}

func batchRoute(prefix string, queueSeconds int) map[string]any {
	return map[string]any{
		"name": "mould-sheet-batch", "host": host, "path_prefix": prefix, "route_type": "batch", "service": "dele69a", "timeout_ms": 15000,
		"target_latency_ms": 400, "completion_target_ms": 18000, "max_queue_s": queueSeconds, "max_count": 2800000, "max_attempts": 3,
		"gap_target_ms": 400, "resumable": true, "session_affinity": true, "priority": 2,
	}
}
