package objectstore

import (
	"encoding/json"
	"math"
	"net"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	client "tarragonwalk/io/objectstore"
)

const objectsPath = "/v1/objects/"

// pageLimit is the largest number of entries in a listing page.
const pageLimit = 1000

func (s *Store) handle(c *fasthttp.RequestCtx) {
	write := c.IsPut() || c.IsDelete()
	s.mu.Lock()
	limit := s.readLimit
	if write {
		s.writes++
		limit = s.writeLimit
	} else {
		s.reads++
	}
	f := s.faults
	lose := write && f.loseAnswers > 0 && s.random.Float64() < f.loseAnswers
	s.mu.Unlock()
	if f.silent {
		<-s.done
		drop(c)

		return
	}
	s.sleep(f.delay)
	switch {
	case f.unavailable:
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case !limit.Allow():
		c.Response.Header.Set("Retry-After", "1")
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
	default:
		s.route(c)
		if lose && c.Response.StatusCode() < fasthttp.StatusMultipleChoices {
			drop(c)
		}
	}
}

// drop closes the connection without an answer.
func drop(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(n net.Conn) { n.Close() })
}

func (s *Store) route(c *fasthttp.RequestCtx) {
	path := string(c.URI().PathOriginal())
	key, isObject := strings.CutPrefix(path, objectsPath)
	key, err := url.PathUnescape(key)
	switch {
	case isObject && err == nil && key != "" && c.IsGet():
		s.get(c, key)
	case isObject && err == nil && key != "" && c.IsPut():
		s.put(c, key)
	case isObject && err == nil && key != "" && c.IsDelete():
		s.remove(c, key)
	case path == "/v1/list" && c.IsGet():
		s.list(c)
	case path == "/v1/watch" && c.IsGet():
		s.watch(c)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func etag(version int) string {
	return `"` + strconv.Itoa(version) + `"`
}

func (s *Store) get(c *fasthttp.RequestCtx, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	if o == nil || !o.exists {
		c.SetStatusCode(fasthttp.StatusNotFound)

		return
	}
	c.Response.Header.Set("ETag", etag(o.version))
	c.SetContentType("application/octet-stream")
	c.SetBody(o.value)
}

// conditionsMet reports whether o meets the If-Match and If-None-Match conditions of the request.
func conditionsMet(c *fasthttp.RequestCtx, o *object) bool {
	match := string(c.Request.Header.Peek("If-Match"))
	if match != "" && (!o.exists || match != "*" && match != etag(o.version)) {
		return false
	}

	return string(c.Request.Header.Peek("If-None-Match")) != "*" || !o.exists
}

func (s *Store) put(c *fasthttp.RequestCtx, key string) {
	if len(c.PostBody()) > MaxValueBytes {
		c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	if o == nil {
		o = &object{}
	}
	if !conditionsMet(c, o) {
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)

		return
	}
	status := fasthttp.StatusOK
	if !o.exists {
		status = fasthttp.StatusCreated
	}
	o.value = append([]byte(nil), c.PostBody()...)
	o.version++
	o.exists = true
	s.objects[key] = o
	s.record(key, o.version)
	c.Response.Header.Set("ETag", etag(o.version))
	c.SetStatusCode(status)
}

func (s *Store) remove(c *fasthttp.RequestCtx, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	if o == nil || !o.exists {
		c.SetStatusCode(fasthttp.StatusNotFound)

		return
	}
	if !conditionsMet(c, o) {
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)

		return
	}
	o.value = nil
	o.version++
	o.exists = false
	s.record(key, 0)
	c.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Store) list(c *fasthttp.RequestCtx) {
	q := c.QueryArgs()
	prefix, after := string(q.Peek("prefix")), string(q.Peek("after"))
	limit := q.GetUintOrZero("limit")
	if limit == 0 || limit > pageLimit {
		limit = pageLimit
	}
	s.mu.Lock()
	l := client.Listing{
		Entries:  []client.Entry{},
		Revision: s.revision,
	}
	for k, o := range s.objects {
		if o.exists && strings.HasPrefix(k, prefix) && k > after {
			l.Entries = append(l.Entries, client.Entry{
				Key:     k,
				Version: o.version,
			})
		}
	}
	s.mu.Unlock()
	sort.Slice(l.Entries, func(a, b int) bool { return l.Entries[a].Key < l.Entries[b].Key })
	if len(l.Entries) > limit {
		l.Entries = l.Entries[:limit]
		l.More = true
	}
	answer(c, l)
}

func (s *Store) watch(c *fasthttp.RequestCtx) {
	q := c.QueryArgs()
	prefix := string(q.Peek("prefix"))
	since := q.GetUintOrZero("since")
	wait := min(q.GetUintOrZero("wait"), math.MaxInt32)
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	expired := false
	for {
		s.mu.Lock()
		found, gone := s.since(prefix, since)
		changed := s.changed
		s.mu.Unlock()
		if gone {
			c.SetStatusCode(fasthttp.StatusGone)

			return
		}
		if expired || len(found.Changes) > 0 {
			answer(c, found)

			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-s.done:
			expired = true
		}
	}
}

// since returns the changes after a revision; gone is true if the log no longer holds all of them or the revision is in
// the future. The caller holds s.mu.
func (s *Store) since(prefix string, since int) (found client.Changes, gone bool) {
	found = client.Changes{
		Changes:  []client.Change{},
		Revision: s.revision,
	}
	if s.faults.frozen {
		found.Revision = since

		return found, false
	}
	if since > s.revision || since < s.revision-len(s.log) {
		return found, true
	}
	for _, ch := range s.log[len(s.log)-(s.revision-since):] {
		if strings.HasPrefix(ch.Key, prefix) {
			found.Changes = append(found.Changes, ch)
		}
	}

	return found, false
}

func answer(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)

		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
