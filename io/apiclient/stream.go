package apiclient

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/openai"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

// Stream sends a chat completion request that asks for server-sent events, and calls on with each token's offset and text.
// A positive after resumes an earlier stream of the same request after that offset. Stream returns the finish reason.
func (c *Client) Stream(body []byte, requestID string, after int, on func(offset int, text string) error) (string, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(c.base + "/v1/chat/completions")
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("X-Request-Id", requestID)
	if after > 0 {
		request.Header.Set("Last-Event-ID", strconv.Itoa(after))
	}
	request.SetBody(body)
	if err := c.streams.DoDeadline(request, response, time.Now().Add(requestTimeout)); err != nil {
		return "", fault.Wrap(err, fault.CodeUnavailable, "cannot reach "+c.base)
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		answer, _ := io.ReadAll(io.LimitReader(response.BodyStream(), maxEventBytes))

		return "", decodeError(response, answer)
	}

	finish, err := readEvents(response.BodyStream(), on)
	if err != nil {
		// The rest of the response is unread, so the connection cannot be reused.
		response.SetConnectionClose()
	}

	return finish, err
}

func readEvents(r io.Reader, on func(offset int, text string) error) (string, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	offset := 0
	finish := ""
	failed := false
	for lines.Scan() {
		name, value, _ := bytes.Cut(lines.Bytes(), []byte(": "))
		switch string(name) {
		case "id":
			offset, _ = strconv.Atoi(string(value))
		case "event":
			failed = string(value) == "error"
		case "data":
			if string(value) == "[DONE]" {
				// The end of the chunked body has to be read before the connection can be reused.
				_, err := io.Copy(io.Discard, io.LimitReader(r, maxEventBytes))
				if err != nil {
					return "", fault.Wrap(err, fault.CodeStreamLost, "the stream ended before its answer was complete")
				}

				return finish, nil
			}
			if failed {
				return "", streamError(value)
			}
			reason, err := readChunk(value, offset, on)
			if err != nil {
				return "", err
			}
			finish += reason
		default:
		}
	}

	return "", fault.Wrap(lines.Err(), fault.CodeStreamLost, "the stream ended before its answer was complete")
}

func readChunk(data []byte, offset int, on func(offset int, text string) error) (string, error) {
	chunk := openai.ChatChunk{}
	if err := Decode(data, &chunk); err != nil {
		return "", err
	}
	finish := ""
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			finish = *choice.FinishReason
		}
		if err := on(offset, choice.Delta.Content); err != nil {
			return "", err
		}
	}

	return finish, nil
}

func streamError(data []byte) error {
	body := openai.ErrorBody{}
	if err := Decode(data, &body); err != nil {
		return err
	}

	return fault.New(fault.Code(body.Error.Code), body.Error.Message)
}
