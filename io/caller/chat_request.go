package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/openai"
)

// prefixBytes is how much of the first message identifies a prompt's prefix; system prompts are at the start.
const prefixBytes = 1024

func decodeChat(body []byte) (openai.ChatRequest, error) {
	var r openai.ChatRequest
	if len(body) == 0 || body[0] == 'n' {
		// encoding/json decodes null as an empty object and skips the check of required fields.
		return r, fault.New(fault.CodeInvalid, "the body must be a JSON object")
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fault.Wrap(err, fault.CodeInvalid, "malformed chat request: "+err.Error())
	}
	if r.Model == "" || len(r.Messages) == 0 {
		return r, fault.New(fault.CodeInvalid, "model and messages are required")
	}
	for _, m := range r.Messages {
		if m.Role == "" {
			return r, invalid("messages", "must be objects with role and content")
		}
	}
	if r.ResumeOffset != 0 || r.ResumeText != "" {
		return r, invalid("resume_offset", "is reserved for engines; use Last-Event-ID")
	}

	return r, nil
}

func promptBytes(r openai.ChatRequest) int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Content)
	}

	return n
}

func maxTokens(r openai.ChatRequest) int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}

	return r.MaxTokens
}

func prefix(r openai.ChatRequest) string {
	m := r.Messages[0]

	return digest(r.Model, m.Role, m.Content[:min(len(m.Content), prefixBytes)])
}

// digest hashes parts, each ended by a zero byte, which names and header values cannot contain.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}

	return hex.EncodeToString(h.Sum(nil))
}
