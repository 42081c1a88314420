package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/gofiber/fiber/v2"

	"tarragonwalk/core/inference"
	"tarragonwalk/io/httperror"
	"tarragonwalk/io/openai"
)

// waitInterval is how long the response headers are delayed so that a refusal can still set the status. After that, a
// comment line is written per interval to detect a disconnected caller, which fasthttp does not report.
const waitInterval = time.Second

func (s *Server) stream(c *fiber.Ctx, g *generation) error {
	first, ok, waited := g.first()
	if !ok && !waited && g.err != nil {
		g.cancel()

		return g.err
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	r, w := io.Pipe()
	// fasthttp writes and flushes one chunk per read, and closes the reader when a write to the caller fails.
	c.Context().SetBodyStream(r, -1)
	go func() {
		defer g.cancel()
		err := s.send(w, g, first, ok)
		if err != nil {
			s.log.Info("stream ended early", "completion", g.id, "error", err)
		}
		_ = w.CloseWithError(err)
		g.cancel()
		<-g.ended
	}()

	return nil
}

// first waits for an event that the caller does not have yet, but no longer than waitInterval.
func (g *generation) first() (e inference.Event, ok, waited bool) {
	t := time.NewTimer(waitInterval)
	defer t.Stop()
	for {
		e, ok, waited = g.next(t.C)
		if !ok || g.needed(e) {
			return e, ok, waited
		}
	}
}

// needed reports whether the caller still needs the event; a finish reason may carry the offset of the last token.
func (g *generation) needed(e inference.Event) bool {
	return e.Offset > g.after || e.Finish != ""
}

func (s *Server) send(w io.Writer, g *generation, first inference.Event, ok bool) error {
	created := int(s.clock().Unix())
	role := "assistant"
	if g.after > 0 {
		role = ""
	}
	if ok {
		if err := g.write(w, first, created, role); err != nil {
			return err
		}
		role = ""
	} else if _, err := io.WriteString(w, ": wait\n\n"); err != nil {
		return err
	}
	t := time.NewTicker(waitInterval)
	defer t.Stop()
	for {
		e, ok, waited := g.next(t.C)
		var err error
		switch {
		case waited:
			_, err = io.WriteString(w, ": wait\n\n")
		case !ok && g.err != nil:
			a := httperror.From(g.err, s.clock())
			_, err = fmt.Fprintf(w, "event: error\ndata: %s\n\n", a.Body)

			return err
		case !ok:
			_, err = io.WriteString(w, "data: [DONE]\n\n")

			return err
		case g.needed(e):
			err = g.write(w, e, created, role)
			role = ""
		}
		if err != nil {
			return err
		}
	}
}

func (g *generation) write(w io.Writer, e inference.Event, created int, role string) error {
	d := openai.Delta{Content: e.Text}
	if role != "" {
		d.Role = &role
	}
	if e.Offset <= g.after {
		d.Content = ""
	}
	var finish *string
	if e.Finish != "" {
		finish = &e.Finish
	}
	b, err := json.Marshal(openai.ChatChunk{
		ID:      g.id,
		Object:  "chat.completion.chunk",
		Created: created,
		Model:   g.model,
		Choices: []openai.ChunkChoice{{
			Delta:        d,
			FinishReason: finish,
		}},
	})
	if err != nil {
		return err
	}
	var o bytes.Buffer
	fmt.Fprintf(&o, "id: %d\ndata: %s\n\n", e.Offset, b)
	_, err = w.Write(o.Bytes())

	return err
}
