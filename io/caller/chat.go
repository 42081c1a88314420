package caller

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/io/openai"
)

// eventBuffer is the number of events buffered for a slow caller before reading from the engine's stream pauses.
const eventBuffer = 64

type generation struct {
	id     string
	model  string
	prompt int
	after  int
	events chan inference.Event
	ended  chan struct{}
	err    error // valid once ended is closed
	ctx    context.Context
	cancel context.CancelFunc
}

func (s *Server) chat(c *fiber.Ctx) error {
	body := slices.Clone(c.Body())
	q, err := decodeChat(body)
	if err != nil {
		return err
	}
	route, err := s.modelRoute(workspace(c), q.Model)
	if err != nil {
		return err
	}
	after, err := lastEventID(c, q.Stream)
	if err != nil {
		return err
	}
	id := requestID(c)
	r := &inference.Request{
		ID:          id,
		Stream:      streamID(workspace(c), id),
		Workspace:   workspace(c),
		Route:       q.Model,
		Deployment:  route.Deployment,
		Class:       inference.ClassOnline,
		Body:        withSeed(body, workspace(c), id),
		PromptBytes: promptBytes(q),
		MaxTokens:   maxTokens(q),
		Prefix:      prefix(q),
		Deadline:    s.clock().Add(time.Duration(route.DeadlineMillis) * time.Millisecond),
	}
	g := s.generate(r, after)
	if q.Stream {
		return s.stream(c, g)
	}
	defer g.cancel()
	cancelOnDisconnect(g.ctx, c, g.cancel)

	return s.sendCompletion(c, g)
}

// streamID returns a digest that is the same for every run of a request, and from which the completion's ID is made,
// followed by a nonce: a late cancel of one run must not end another run of the same request on the same backend server.
func streamID(workspace, id string) string {
	return digest(workspace, id) + "." + uuid.NewString()[:8]
}

func (s *Server) modelRoute(workspace, model string) (configuration.OnlineRoute, error) {
	r, err := s.access.Route(workspace, model)
	if err == nil && r.Kind != configuration.RouteKindModel {
		err = fault.New(fault.CodeNotFound, model+" is not a model")
	}
	var e *fault.Error
	if errors.As(err, &e) {
		e.Param = "model"
	}

	return r, err
}

func lastEventID(c *fiber.Ctx, stream bool) (int, error) {
	v := c.Get("Last-Event-ID")
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || !stream {
		return 0, invalid("Last-Event-ID", "must be the token offset of a stream")
	}

	return n, nil
}

// generate starts the run, which may outlive the handler and is bounded by the request's deadline.
func (s *Server) generate(r *inference.Request, after int) *generation {
	ctx, cancel := context.WithTimeout(s.base, r.Deadline.Sub(s.clock()))
	g := &generation{
		id:     "chatcmpl-" + r.Stream[:32],
		model:  r.Route,
		prompt: r.PromptBytes,
		after:  after,
		events: make(chan inference.Event, eventBuffer),
		ended:  make(chan struct{}),
		ctx:    ctx,
		cancel: cancel,
	}
	go func() {
		defer close(g.ended)
		g.err = s.run(ctx, r, g.events)
	}()

	return g
}

func (s *Server) run(ctx context.Context, r *inference.Request, events chan<- inference.Event) error {
	started, finished := false, false
	err := s.dispatcher.Run(ctx, r, func(e inference.Event) error {
		started = true
		finished = finished || e.Finish != ""
		select {
		case events <- e:
			return nil
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.CodeCancelled, "the caller has disconnected")
		}
	})
	switch {
	case err == nil && !finished:
		return fault.New(fault.CodeStreamLost, "the stream ended without a finish reason")
	case err == nil:
		return nil
	case started && fault.NotRun(err):
		// Tokens were generated, so the response must not claim that nothing ran.
		return fault.Wrap(err, fault.CodeStreamLost, "the stream was lost")
	case errors.Is(err, context.DeadlineExceeded):
		return fault.Wrap(err, fault.CodeDeadlinePassed, "the request took too long")
	default:
		return err
	}
}

// next returns the next event; ok is false after the last one, or with waited if the timer fired first.
func (g *generation) next(timer <-chan time.Time) (e inference.Event, ok, waited bool) {
	select {
	case e = <-g.events:
		return e, true, false
	default:
	}
	select {
	case e = <-g.events:
		return e, true, false
	case <-timer:
		return e, false, true
	case <-g.ended:
	}
	// Events sent just before the end may still be in the buffer.
	select {
	case e = <-g.events:
		return e, true, false
	default:
		return e, false, false
	}
}

func (s *Server) sendCompletion(c *fiber.Ctx, g *generation) error {
	var text strings.Builder
	tokens, finish := 0, ""
	for {
		e, ok, _ := g.next(nil)
		if !ok {
			break
		}
		_, _ = text.WriteString(e.Text)
		tokens = max(tokens, e.Offset)
		finish = e.Finish
	}
	if g.err != nil {
		return g.err
	}
	// The engines report no prompt tokens; four bytes per token is the usual estimate.
	prompt := (g.prompt + 3) / 4

	return c.JSON(openai.ChatCompletion{
		ID:      g.id,
		Object:  "chat.completion",
		Created: int(s.clock().Unix()),
		Model:   g.model,
		Choices: []openai.Choice{{
			Message: openai.Message{
				Role:    "assistant",
				Content: text.String(),
			},
			FinishReason: finish,
		}},
		Usage: openai.Usage{
			PromptTokens:     prompt,
			CompletionTokens: tokens,
			TotalTokens:      prompt + tokens,
		},
	})
}
