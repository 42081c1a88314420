package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/io/openai"
)

// chunk holds the fields of openai.ChatChunk that are needed for every token. The generated decoder parses each nesting
// level twice and is too slow here.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func decode(m message) (inference.Event, error) {
	var k chunk
	if err := json.Unmarshal(m.data, &k); err != nil {
		return inference.Event{}, fault.Wrap(err, fault.CodeStreamLost, "invalid chunk")
	}
	if k.Error != nil {
		return inference.Event{}, fault.New(fault.CodeBackendFailed, "engine reported: "+k.Error.Message)
	}
	if len(k.Choices) != 1 || m.id < 0 {
		return inference.Event{}, fault.New(fault.CodeStreamLost, "chunk without one choice or without an offset")
	}

	return inference.Event{
		Finish: k.Choices[0].FinishReason,
		Offset: m.id,
		Text:   k.Choices[0].Delta.Content,
	}, nil
}

func streamBody(r *inference.Request) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil || fields == nil {
		return nil, fault.New(fault.CodeInvalid, "request body is not a JSON object")
	}
	fields["stream"] = json.RawMessage("true")
	delete(fields, "resume_offset")
	delete(fields, "resume_text")
	if r.Offset > 0 {
		text, err := json.Marshal(r.Generated)
		if err != nil {
			return nil, fault.Wrap(err, fault.CodeInternal, "cannot encode the generated text")
		}
		fields["resume_offset"] = json.RawMessage(strconv.Itoa(r.Offset))
		fields["resume_text"] = text
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInvalid, "cannot encode the request body")
	}

	return body, nil
}

// statusFailure returns nil for a 2xx response.
func statusFailure(p *fasthttp.Response) error {
	status := p.StatusCode()
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	if status == http.StatusServiceUnavailable && string(p.Header.Peek("X-Leaving")) == "1" {
		return fault.New(fault.CodeBackendLeaving, "backend server is leaving")
	}
	text := "engine answered " + strconv.Itoa(status)
	var b openai.ErrorBody
	var answer []byte
	if body := p.BodyStream(); body == nil {
		answer = p.Body()
	} else {
		// If the body is incomplete, only the error message is lost.
		answer, _ = io.ReadAll(io.LimitReader(body, maxResponse))
	}
	if json.Unmarshal(answer, &b) == nil {
		text += ": " + b.Error.Message
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return fault.New(fault.CodeInvalid, text)
	}

	return fault.New(fault.CodeBackendFailed, text)
}
