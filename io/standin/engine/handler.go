package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/io/openai"
)

// maxBody is the largest request body in bytes.
const maxBody = 16 << 20

var errReused = errors.New("order ID was already used for a different order")

func (e *Engine) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	m.HandleFunc("POST /v1/streams/{id}/cancel", e.serveCancel)
	m.HandleFunc("GET /v1/load", e.serveLoad)
	m.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	m.HandleFunc("POST /v1/orders", e.serveOrder)

	return m
}

func (e *Engine) serveCompletion(w http.ResponseWriter, q *http.Request) {
	var r openai.ChatRequest
	if !readJSON(w, q, &r) {
		return
	}
	failed, leaving := e.injectedFailure()
	if leaving || e.isLoading() {
		w.Header().Set("X-Leaving", "1")
		writeError(w, http.StatusServiceUnavailable, fault.CodeBackendLeaving, "leaving")

		return
	}
	if failed {
		writeError(w, http.StatusInternalServerError, fault.CodeBackendFailed, "engine failed")

		return
	}
	if e.failMarker != "" && slices.ContainsFunc(r.Messages, func(m openai.Message) bool {
		return strings.Contains(m.Content, e.failMarker)
	}) {
		writeError(w, http.StatusBadRequest, fault.CodeInvalid, "prompt cannot be processed")

		return
	}
	a := newAnswer(&r)
	if r.ResumeOffset > a.tokens || r.ResumeText != a.text(r.ResumeOffset) {
		writeError(w, http.StatusBadRequest, fault.CodeInvalid, "resume_text does not match resume_offset")

		return
	}
	id := q.Header.Get("X-Stream-Id")
	if e.swap() {
		id += "-other"
		r.Messages[0].Content += " of somebody else"
		r.ResumeOffset, r.ResumeText = 0, ""
		a = newAnswer(&r)
	}
	w.Header().Set("X-Stream-Id", id)
	s := &stream{
		id:      id,
		answer:  a,
		offset:  r.ResumeOffset,
		updated: make(chan struct{}, 1),
	}
	s.blocks, s.size = promptBlocks(&r)
	s.size += len(r.ResumeText)
	e.add(s)
	defer func() {
		s.cancel() // No effect on a complete stream.
		e.notify()
	}()
	if r.Stream {
		e.writeStream(w, q, &r, s)
	} else {
		e.writeWhole(w, q, &r, s)
	}
}

// writeStream sends an event for each token when the step loop has generated it.
func (e *Engine) writeStream(w http.ResponseWriter, q *http.Request, r *openai.ChatRequest, s *stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	if c.Flush() != nil {
		return
	}
	created := int(time.Now().Unix())
	sent := r.ResumeOffset
	for {
		offset, repeats, canceled := s.progress()
		var out []byte
		for n := sent + 1; n <= offset; n++ {
			out = appendEvent(out, r, s, n, created)
			if slices.Contains(repeats, n) {
				out = appendEvent(out, r, s, n, created)
			}
		}
		end := offset >= s.answer.tokens
		if end && r.ResumeOffset == offset {
			out = appendEnd(out, r, s, created)
		}
		sent = offset
		if end {
			out = append(out, "data: [DONE]\n\n"...)
		}
		if len(out) > 0 {
			if _, err := w.Write(out); err != nil || c.Flush() != nil {
				return
			}
		}
		if end {
			return
		}
		if canceled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-q.Context().Done():
			return
		case <-s.updated:
		}
	}
}

func (e *Engine) writeWhole(w http.ResponseWriter, q *http.Request, r *openai.ChatRequest, s *stream) {
	for {
		offset, _, canceled := s.progress()
		if offset >= s.answer.tokens {
			break
		}
		if canceled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-q.Context().Done():
			return
		case <-s.updated:
		}
	}
	prompt := s.size / 4
	writeJSON(w, openai.ChatCompletion{
		Choices: []openai.Choice{{
			FinishReason: s.answer.finish,
			Message: openai.Message{
				Content: s.answer.text(s.answer.tokens)[len(r.ResumeText):],
				Role:    "assistant",
			},
		}},
		Created: int(time.Now().Unix()),
		ID:      s.id,
		Model:   r.Model,
		Object:  "chat.completion",
		Usage: openai.Usage{
			CompletionTokens: s.answer.tokens - r.ResumeOffset,
			PromptTokens:     prompt,
			TotalTokens:      prompt + s.answer.tokens - r.ResumeOffset,
		},
	})
}

func appendEvent(out []byte, r *openai.ChatRequest, s *stream, n, created int) []byte {
	k := openai.ChunkChoice{
		Delta: openai.Delta{
			Content: s.answer.token(n),
		},
	}
	if n == 1 {
		role := "assistant"
		k.Delta.Role = &role
	}
	if n == s.answer.tokens {
		k.FinishReason = &s.answer.finish
	}

	return appendChunk(out, r, s, n, created, k)
}

// appendEnd appends a chunk with only the finish reason, for a request whose resume_text is already the whole answer.
func appendEnd(out []byte, r *openai.ChatRequest, s *stream, created int) []byte {
	return appendChunk(out, r, s, s.answer.tokens, created, openai.ChunkChoice{
		FinishReason: &s.answer.finish,
	})
}

func appendChunk(out []byte, r *openai.ChatRequest, s *stream, n, created int, k openai.ChunkChoice) []byte {
	b, err := json.Marshal(openai.ChatChunk{
		Choices: []openai.ChunkChoice{k},
		Created: created,
		ID:      s.id,
		Model:   r.Model,
		Object:  "chat.completion.chunk",
	})
	if err != nil {
		return out
	}
	out = append(out, "id: "...)
	out = strconv.AppendInt(out, int64(n), 10)
	out = append(out, "\ndata: "...)
	out = append(out, b...)

	return append(out, "\n\n"...)
}

func (e *Engine) serveCancel(w http.ResponseWriter, q *http.Request) {
	id := q.PathValue("id")
	found := false
	e.lock.Lock()
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.id == id {
			s.cancel()
			found = true
		}
	}
	e.lock.Unlock()
	e.notify()
	if !found {
		writeError(w, http.StatusNotFound, fault.CodeNotFound, "no such stream")
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s := e.load()
	e.lock.Lock()
	have, loading := e.weights, e.loading
	e.lock.Unlock()
	writeJSON(w, inference.Load{
		At:           s.at,
		Running:      s.running,
		Waiting:      s.waiting,
		Model:        have.model,
		Adapter:      have.adapter,
		ModelVersion: have.version,
		Loading:      loading,
	})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, q *http.Request) {
	since, err := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, fault.CodeInvalid, "since is not a number")

		return
	}
	e.lock.Lock()
	r := e.cache.since(since, time.Now().Add(-e.cacheLag), e.cacheGap)
	e.lock.Unlock()
	writeJSON(w, r)
}

func (e *Engine) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o inference.Order
	if !readJSON(w, q, &o) {
		return
	}
	token, err := strconv.Atoi(q.Header.Get("X-Fencing-Token"))
	if err != nil && e.fencing {
		writeError(w, http.StatusBadRequest, fault.CodeInvalid, "X-Fencing-Token is not a number")

		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if done, ok := e.applied[o.ID]; ok {
		done.FencingToken = o.FencingToken // A new lease holder may repeat an order with its own token.
		if done != o {
			writeError(w, http.StatusBadRequest, fault.CodeInvalid, errReused.Error())
		}

		return
	}
	if e.fencing && token < e.fencingToken {
		writeError(w, http.StatusPreconditionFailed, fault.CodeFenced, "stale fencing token")

		return
	}
	e.fencingToken = max(e.fencingToken, token)
	e.applied[o.ID] = o
	e.orders = append(e.orders, o)
	e.apply(o)
}

func readJSON(w http.ResponseWriter, q *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, fault.CodeInvalid, err.Error())
	}

	return err == nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // A broken connection ends the request anyway.
}

func writeError(w http.ResponseWriter, status int, code fault.Code, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(openai.ErrorBody{
		Error: openai.ErrorDetail{
			Code:    string(code),
			Message: text,
			Type:    "engine_error",
		},
	})
}
