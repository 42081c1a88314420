package engine

import (
	"encoding/binary"
	"hash/fnv"
	"strings"

	"tarragonwalk/io/openai"
)

// defaultTokens is the token limit of requests that set none.
const defaultTokens = 64

var words = strings.Fields("kayak river mold bronze waiver sand tide relief casting paddle renter note sheet anneal " +
	"harbor current wax flask rudder vest şafak deniz kürek izin ırmak dalga")

// answer is the complete answer to a request. It depends on the request only, so every engine gives the same one.
type answer struct {
	seed   uint64
	tokens int
	finish string
}

func newAnswer(r *openai.ChatRequest) answer {
	h := fnv.New64a()
	for _, m := range r.Messages {
		h.Write([]byte(m.Role))
		h.Write([]byte{0})
		h.Write([]byte(m.Content))
		h.Write([]byte{0})
	}
	limit := r.MaxCompletionTokens
	if limit == 0 {
		limit = r.MaxTokens
	}
	if limit == 0 {
		limit = defaultTokens
	}
	a := answer{
		seed:   h.Sum64(),
		finish: "stop",
	}
	a.tokens = limit - int(a.seed%uint64(limit/2+1)) //nolint:gosec // Less than limit.
	if a.tokens == limit {
		a.finish = "length"
	}

	return a
}

// token returns the text of the n-th token, counted from 1.
func (a answer) token(n int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], a.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(n)) //nolint:gosec // Never negative.
	h := fnv.New64a()
	h.Write(b[:])
	w := words[h.Sum64()%uint64(len(words))]
	if n == 1 {
		return w
	}

	return " " + w
}

func (a answer) text(tokens int) string {
	var s strings.Builder
	for n := 1; n <= tokens; n++ {
		s.WriteString(a.token(n))
	}

	return s.String()
}

// Answer returns the text, the number of tokens and the finish reason with which every engine answers a request.
func Answer(r *openai.ChatRequest) (text string, tokens int, finish string) {
	a := newAnswer(r)

	return a.text(a.tokens), a.tokens, a.finish
}
