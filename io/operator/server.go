package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"tarragonwalk/core/access"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/keyring"
	"tarragonwalk/io/httperror"
	"tarragonwalk/io/idleconn"
	"tarragonwalk/io/tcp"
)

type holder interface {
	Current() *configuration.Configuration
}

type store interface {
	Append(ctx context.Context, p configuration.Patch) (*configuration.Configuration, error)
}

const (
	headerBytes = 16 << 10
	// bodyBytes is the store's limit for a value: a patch is never larger than the configuration that it creates.
	bodyBytes    = 1 << 20
	storeTimeout = 30 * time.Second
	idleTimeout  = 75 * time.Second
)

// Server serves the administration API.
type Server struct {
	app       *fiber.App
	holder    holder
	store     store
	validate  func(configuration.Patch) error
	status    func() any
	burn      func() any
	access    *access.Checker
	bootstrap [sha256.Size]byte
	log       *slog.Logger
	clock     func() time.Time
	idle      *idleconn.Limiter
	secure    func(net.Listener) net.Listener
	closing   atomic.Bool
}

// New returns a server; bootstrap is the SHA-256 digest of the key that may create version 1, zero for none.
func New(h holder, s store, validate func(configuration.Patch) error, status, burn func() any,
	bootstrap [sha256.Size]byte, log *slog.Logger, clock func() time.Time,
) *Server {
	v := &Server{
		holder:    h,
		store:     s,
		validate:  validate,
		status:    status,
		burn:      burn,
		access:    access.New(h),
		bootstrap: bootstrap,
		log:       log,
		clock:     clock,
		secure:    func(l net.Listener) net.Listener { return l },
	}
	// fasthttp applies the limits.
	v.idle = idleconn.New(func() (header, idle time.Duration) { return 0, 0 }, clock, log)
	v.app = fiber.New(fiber.Config{
		AppName:               "tarragonwalk",
		BodyLimit:             bodyBytes,
		ReadBufferSize:        headerBytes,
		ReadTimeout:           storeTimeout,
		WriteTimeout:          storeTimeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		Immutable:             true,
		ErrorHandler:          v.fail,
	})
	v.app.Server().ConnState = func(c net.Conn, state fasthttp.ConnState) {
		v.idle.Observe(c, http.ConnState(state)) // the values are the same
	}
	v.app.Use(v.announceStop, v.authorize)
	v.app.Get("/admin/v1/configuration", v.get)
	v.app.Post("/admin/v1/configuration/patches", v.patch)
	v.app.Post("/admin/v1/configuration/validate", v.check)
	v.app.Get("/admin/v1/status", func(c *fiber.Ctx) error { return c.JSON(v.status()) })
	v.app.Get("/admin/v1/burn", func(c *fiber.Ctx) error { return c.JSON(v.burn()) })
	v.app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))

	return v
}

// Secure makes Serve use the listener that secure returns, such as one for TLS. It must be called before Serve.
func (s *Server) Secure(secure func(net.Listener) net.Listener) {
	s.secure = secure
}

// Serve answers requests on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return eris.Wrap(s.app.Listener(tcp.NewListener(s.secure(s.idle.Listen(l)), s.log)), "serve operators")
}

// Shutdown closes the listener and waits for requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	// fasthttp would close connections with requests that it has not read.
	err := s.idle.Shutdown(ctx)
	if e := s.app.ShutdownWithContext(ctx); err == nil {
		err = e
	}

	return eris.Wrap(err, "stop serving operators")
}

func (s *Server) announceStop(c *fiber.Ctx) error {
	if s.closing.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}

	return c.Next()
}

func (s *Server) authorize(c *fiber.Ctx) error {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return fault.New(fault.CodeUnauthorized, "missing or unknown key")
	}
	if g := s.holder.Current(); g == nil || g.Version == 0 {
		if s.bootstrap == [sha256.Size]byte{} || !keyring.Matches(key, s.bootstrap) {
			return fault.New(fault.CodeUnauthorized, "missing or unknown key")
		}
		c.Locals("operator", "bootstrap")
		c.Locals("write", true)

		return c.Next()
	}
	name, write, err := s.access.Operator(key)
	if err != nil {
		return err
	}
	c.Locals("operator", name)
	c.Locals("write", write)

	return c.Next()
}

func (s *Server) get(c *fiber.Ctx) error {
	g := s.holder.Current()
	if g == nil || g.Version == 0 {
		return fault.New(fault.CodeNotFound, "no configuration yet")
	}

	return c.JSON(g)
}

func (s *Server) patch(c *fiber.Ctx) error {
	if w, _ := c.Locals("write").(bool); !w {
		return fault.New(fault.CodeForbidden, "the operator may not write")
	}
	p, err := decodePatch(c.Body())
	if err != nil {
		return err
	}
	// The bootstrap key may create only the first version, even while this instance does not know of a later one.
	if c.Locals("operator") == "bootstrap" && p.BaseVersion != 0 {
		return fault.New(fault.CodeForbidden, "the bootstrap key may only create the first version")
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	g, err := s.store.Append(ctx, p)
	if err != nil {
		return err
	}
	s.log.Info("configuration accepted", "operator", c.Locals("operator"), "version", g.Version)

	return c.JSON(g)
}

func (s *Server) check(c *fiber.Ctx) error {
	p, err := decodePatch(c.Body())
	if err != nil {
		return err
	}
	if err := s.validate(p); err != nil {
		return err
	}

	return c.JSON(fiber.Map{"Valid": true})
}

func decodePatch(body []byte) (configuration.Patch, error) {
	var p configuration.Patch
	// The generated decoder ignores unknown keys, but a misspelled key must be reported.
	var known struct {
		BaseVersion json.RawMessage
		Operation   json.RawMessage
		Patch       json.RawMessage
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	err := d.Decode(&known)
	if err == nil && !errors.Is(d.Decode(&struct{}{}), io.EOF) {
		err = errors.New("data after the object")
	}
	if err == nil {
		err = json.Unmarshal(body, &p)
	}
	if err == nil && len(p.Patch) == 0 {
		err = errors.New("field Patch is required")
	}
	if err != nil {
		return p, fault.Wrap(err, fault.CodeInvalid, "malformed patch: "+err.Error())
	}

	return p, nil
}

func (s *Server) fail(c *fiber.Ctx, err error) error {
	var f *fiber.Error
	if errors.As(err, &f) {
		switch f.Code {
		case http.StatusNotFound, http.StatusMethodNotAllowed:
			err = fault.New(fault.CodeNotFound, "no such endpoint")
		case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
			err = fault.New(fault.CodeTooLarge, "the request is too large")
		default:
			err = fault.Wrap(err, fault.CodeInvalid, "malformed request")
		}
	}
	a := httperror.From(err, s.clock())
	if a.Status >= http.StatusInternalServerError {
		s.log.Warn("request failed", "path", c.Path(), "error", err)
	}
	for k, v := range a.Header {
		c.Set(k, v)
	}

	return c.Status(a.Status).Send(a.Body)
}
