package caller

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"tarragonwalk/core/access"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/job"
	"tarragonwalk/core/membership"
	"tarragonwalk/io/drain"
	"tarragonwalk/io/httperror"
	"tarragonwalk/io/idleconn"
	"tarragonwalk/io/settings"
	"tarragonwalk/io/tcp"
)

type dispatcher interface {
	Run(ctx context.Context, r *inference.Request, on func(inference.Event) error) error
	Call(ctx context.Context, r *inference.Request, idempotent bool, call func(context.Context, netip.AddrPort) error) error
}

type store interface {
	PutFile(ctx context.Context, workspace, name string, r io.Reader) (job.File, error)
	GetFile(ctx context.Context, workspace, id string) (job.File, error)
	ReadFile(ctx context.Context, workspace, id string, w io.Writer) error
	Submit(ctx context.Context, s job.Submission) (job.Status, error)
	GetJob(ctx context.Context, workspace, id string) (job.Status, error)
	ListJobs(ctx context.Context, workspace, after string, limit int) (jobs []job.Status, more bool, err error)
	Cancel(ctx context.Context, workspace, id string) (job.Status, error)
	ReadResults(ctx context.Context, workspace, id string, w io.Writer) error
}

type holder interface {
	Current() *configuration.Configuration
}

type members interface {
	Addresses(zone string, at time.Time) membership.AddressList
}

type guard interface {
	Do(ctx context.Context, workspace, key string, digest string, call func(context.Context) (status int, contentType string, body []byte, err error)) (status int, contentType string, body []byte, err error)
}

type service interface {
	Call(ctx context.Context, address netip.AddrPort, method, path string, header map[string]string, body []byte) (status int, answer []byte, err error)
}

const (
	headerBytes = 16 << 10
	nameBytes   = 128
	// multipartBytes is allowed for the multipart boundaries and part headers around an uploaded file.
	multipartBytes = 64 << 10
	// storeTimeout bounds the store calls of one request, so that a slow store does not hold connections forever.
	storeTimeout = 30 * time.Second
	// fileTimeout bounds the transfer of a whole file in either direction.
	fileTimeout = 10 * time.Minute
	idleTimeout = 75 * time.Second
)

// Server serves the HTTP API for callers.
type Server struct {
	app        *fiber.App
	dispatcher dispatcher
	store      store
	holder     holder
	members    members
	guard      guard
	service    service
	access     *access.Checker
	limits     settings.LimitSettings
	zone       string
	grace      time.Duration
	log        *slog.Logger
	clock      func() time.Time
	base       context.Context
	stop       context.CancelFunc
	closing    atomic.Bool
	drain      *drain.Tracker
	idle       *idleconn.Limiter
	secure     func(net.Listener) net.Listener
}

// New returns a server for an instance in a zone; grace is how long a stopping instance still accepts connections.
func New(d dispatcher, s store, h holder, m members, g guard, c service, limits settings.LimitSettings, zone string,
	grace time.Duration, log *slog.Logger, clock func() time.Time,
) *Server {
	base, stop := context.WithCancel(context.Background())
	v := &Server{
		dispatcher: d,
		store:      s,
		holder:     h,
		members:    m,
		guard:      g,
		service:    c,
		access:     access.New(h),
		limits:     limits,
		zone:       zone,
		grace:      grace,
		log:        log,
		clock:      clock,
		base:       base,
		stop:       stop,
		drain:      drain.New(clock),
		secure:     func(l net.Listener) net.Listener { return l },
	}
	// fasthttp applies the limits.
	v.idle = idleconn.New(func() (header, idle time.Duration) { return 0, 0 }, clock, log)
	v.app = fiber.New(fiber.Config{
		AppName:               "tarragonwalk",
		BodyLimit:             limits.BodyBytes,
		ReadBufferSize:        headerBytes,
		ReadTimeout:           fileTimeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		// Handlers retain strings after they return; without this, fiber reuses their memory.
		Immutable:    true,
		ErrorHandler: v.fail,
	})
	v.app.Server().HeaderReceived = v.bodyLimit
	v.app.Server().ConnState = v.observe
	v.routes()

	return v
}

// Secure makes Serve use the listener that secure returns, such as one for TLS. It must be called before Serve.
func (s *Server) Secure(secure func(net.Listener) net.Listener) {
	s.secure = secure
}

// Serve answers requests on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return eris.Wrap(s.app.Listener(&listener{Listener: tcp.NewListener(s.secure(s.idle.Listen(l)), s.log)}), "serve callers")
}

// Shutdown makes the readiness check fail, still accepts requests for the grace time and until connections that were in use at its
// begin are idle, then waits for the requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	s.drain.Announce()
	defer s.stop()
	t := time.NewTimer(s.grace)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	s.drain.Wait(ctx)
	// fasthttp would close connections with requests that it has not read.
	err := s.idle.Shutdown(ctx)
	if e := s.app.ShutdownWithContext(ctx); err == nil {
		err = e
	}

	return eris.Wrap(err, "stop serving callers")
}

func (s *Server) observe(c net.Conn, state fasthttp.ConnState) {
	s.idle.Observe(c, http.ConnState(state)) // the values are the same
	if state == fasthttp.StateActive {
		s.drain.Began(c)
	} else {
		s.drain.Ended(c)
	}
}

func (s *Server) routes() {
	s.app.Use(s.prepare)
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	v := s.app.Group("/v1", s.authorize)
	v.Post("/chat/completions", s.chat)
	v.Get("/models", s.models)
	v.Post("/files", s.putFile)
	v.Get("/files/:id", s.getFile)
	v.Get("/files/:id/content", s.readFile)
	v.Post("/batches", s.submit)
	v.Get("/batches", s.listBatches)
	v.Get("/batches/:id", s.getBatch)
	v.Post("/batches/:id/cancel", s.cancelBatch)
	v.Get("/addresses", s.addresses)
	v.All("/services/:route", s.callService)
	v.All("/services/:route/*", s.callService)
}

func (s *Server) bodyLimit(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	path, _, _ := strings.Cut(string(h.RequestURI()), "?")
	limit := s.limits.BodyBytes
	if path == "/v1/files" {
		limit = s.limits.FileBytes + multipartBytes
	}

	return fasthttp.RequestConfig{MaxRequestBodySize: limit}
}

func (s *Server) prepare(c *fiber.Ctx) error {
	if s.closing.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	id := c.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	if !validName(id) {
		return invalid("X-Request-Id", "must be 1 to 128 printable ASCII characters")
	}
	c.Set("X-Request-Id", id)
	c.Locals("request", id)

	return c.Next()
}

func (s *Server) authorize(c *fiber.Ctx) error {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		key = ""
	}
	w, err := s.access.Workspace(key)
	if err != nil {
		return err
	}
	c.Locals("workspace", w)

	return c.Next()
}

func (s *Server) ready(c *fiber.Ctx) error {
	if g := s.holder.Current(); s.closing.Load() || g == nil || g.Version == 0 {
		return c.Status(http.StatusServiceUnavailable).SendString("not ready\n")
	}

	return c.SendString("ready\n")
}

func (s *Server) fail(c *fiber.Ctx, err error) error {
	a := httperror.From(s.classify(err), s.clock())
	if a.Status >= http.StatusInternalServerError {
		s.log.Warn("request failed", "request", requestID(c), "workspace", workspace(c), "path", c.Path(), "error", err)
	}
	for k, v := range a.Header {
		c.Set(k, v)
	}

	return c.Status(a.Status).Send(a.Body)
}

func (s *Server) classify(err error) error {
	var f *fiber.Error
	if !errors.As(err, &f) {
		return err
	}
	switch f.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return fault.New(fault.CodeNotFound, "no such endpoint")
	case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return fault.New(fault.CodeTooLarge, "the request is too large")
	case http.StatusInternalServerError:
		return err
	default:
		return fault.New(fault.CodeInvalid, "malformed request")
	}
}

func workspace(c *fiber.Ctx) string {
	w, _ := c.Locals("workspace").(string)

	return w
}

func requestID(c *fiber.Ctx) string {
	r, _ := c.Locals("request").(string)

	return r
}

func invalid(param, message string) error {
	e := fault.New(fault.CodeInvalid, param+" "+message)
	e.Param = param

	return e
}

// validName reports whether s is short and printable, as names become part of store keys and headers.
func validName(s string) bool {
	if s == "" || len(s) > nameBytes {
		return false
	}
	for _, b := range []byte(s) {
		if b <= ' ' || b > '~' {
			return false
		}
	}

	return true
}
