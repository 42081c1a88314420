package caller

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
)

// forwardedHeaders lists the only headers that are passed on to a service; the caller's key must not be.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key"}

func (s *Server) callService(c *fiber.Ctx) error {
	name := c.Params("route")
	route, err := s.access.Route(workspace(c), name)
	if err != nil {
		return err
	}
	if route.Kind != configuration.RouteKindService {
		return fault.New(fault.CodeNotFound, name+" is not a service")
	}
	id, key := requestID(c), c.Get("Idempotency-Key")
	if !route.Idempotent && !validName(key) {
		return invalid("Idempotency-Key", "is required, 1 to 128 printable ASCII characters")
	}
	method, path, body := c.Method(), servicePath(c.OriginalURL()), slices.Clone(c.Body())
	header := map[string]string{"X-Request-Id": id}
	for _, h := range forwardedHeaders {
		if v := c.Get(h); v != "" {
			header[h] = v
		}
	}
	r := &inference.Request{
		ID:          id,
		Stream:      digest(workspace(c), id),
		Workspace:   workspace(c),
		Route:       name,
		Deployment:  route.Deployment,
		Class:       inference.ClassOnline,
		PromptBytes: len(body),
		Deadline:    s.clock().Add(time.Duration(route.DeadlineMillis) * time.Millisecond),
	}
	call := func(ctx context.Context) (status int, contentType string, answer []byte, err error) {
		err = s.dispatcher.Call(ctx, r, route.Idempotent, func(ctx context.Context, a netip.AddrPort) error {
			var err error
			status, answer, err = s.service.Call(ctx, a, method, path, header, body)

			return err
		})

		contentType = "application/octet-stream"
		if json.Valid(answer) {
			contentType = fiber.MIMEApplicationJSON
		}

		return status, contentType, answer, err
	}
	ctx, cancel := context.WithTimeout(s.base, r.Deadline.Sub(s.clock()))
	defer cancel()
	if route.Idempotent {
		// A non-idempotent call continues after its caller disconnects, so that its outcome is recorded for a resend.
		cancelOnDisconnect(ctx, c, cancel)
	}
	var status int
	var contentType string
	var answer []byte
	if route.Idempotent {
		status, contentType, answer, err = call(ctx)
	} else {
		d := digest(method, name, path, string(body))
		status, contentType, answer, err = s.guard.Do(ctx, workspace(c), key, d, call)
	}
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, contentType)

	return c.Status(status).Send(answer)
}

// servicePath returns the path and query after the route's name, without decoding them.
func servicePath(url string) string {
	rest := strings.TrimPrefix(url, "/v1/services/")
	if i := strings.IndexAny(rest, "/?"); i >= 0 && rest[i] == '/' {
		return rest[i:]
	} else if i >= 0 {
		return "/" + rest[i:]
	}

	return "/"
}
