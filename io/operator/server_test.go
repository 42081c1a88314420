package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/burn"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/internal/faultylistener"
)

type fake struct{ current *configuration.Configuration }

func (f *fake) Current() *configuration.Configuration { return f.current }

func (f *fake) Append(_ context.Context, p configuration.Patch) (*configuration.Configuration, error) {
	version := 0
	if f.current != nil {
		version = f.current.Version
	}
	if p.BaseVersion != version {
		e := fault.New(fault.CodeStaleVersion, "stale")
		e.Version = int64(version)

		return nil, e
	}
	f.current = configured(version + 1)

	return f.current, nil
}

func hash(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

func configured(version int) *configuration.Configuration {
	r, w := hash("read"), hash("write")

	return &configuration.Configuration{
		Version: version,
		Operators: configuration.ConfigurationOperators{
			"r": {KeyHash: hex.EncodeToString(r[:])},
			"w": {KeyHash: hex.EncodeToString(w[:]), Write: true},
		},
	}
}

// Guards against changes without write permission, a bootstrap key that is still accepted after the first version, and stale
// patches.
func TestServer(t *testing.T) {
	const patches, get = "/admin/v1/configuration/patches", "/admin/v1/configuration"
	cases := []struct {
		name, method, path, key, body string
		version, status               int
	}{
		{name: "no key", method: "GET", path: get, version: 1, status: 401},
		{name: "wrong key", method: "GET", path: get, key: "x", version: 1, status: 401},
		{name: "read", method: "GET", path: get, key: "read", version: 1, status: 200},
		{name: "read may not write", method: "POST", path: patches, key: "read", body: `{"BaseVersion":1,"Patch":{}}`, version: 1, status: 403},
		{name: "write", method: "POST", path: patches, key: "write", body: `{"BaseVersion":1,"Patch":{}}`, version: 1, status: 200},
		{name: "stale", method: "POST", path: patches, key: "write", body: `{"BaseVersion":1,"Patch":{}}`, version: 2, status: 409},
		{name: "malformed", method: "POST", path: patches, key: "write", body: `{`, version: 1, status: 400},
		{name: "unknown key in body", method: "POST", path: patches, key: "write", body: `{"BaseVersion":1,"Patch":{},"X":1}`, version: 1, status: 400},
		{name: "bootstrap", method: "POST", path: patches, key: "first", body: `{"BaseVersion":0,"Patch":{}}`, status: 200},
		{name: "bootstrap with a base", method: "POST", path: patches, key: "first", body: `{"BaseVersion":3,"Patch":{}}`, status: 403},
		{name: "bootstrap afterwards", method: "POST", path: patches, key: "first", body: `{"BaseVersion":1,"Patch":{}}`, version: 1, status: 401},
		{name: "no configuration", method: "GET", path: get, key: "first", status: 404},
		{name: "validate", method: "POST", path: get + "/validate", key: "read", body: `{"BaseVersion":1,"Patch":{}}`, version: 1, status: 400},
		{name: "status", method: "GET", path: "/admin/v1/status", key: "read", version: 1, status: 200},
		{name: "burn", method: "GET", path: "/admin/v1/burn", key: "read", version: 1, status: 200},
		{name: "burn without a key", method: "GET", path: "/admin/v1/burn", version: 1, status: 401},
		{name: "metrics", method: "GET", path: "/debug/vars", key: "read", version: 1, status: 200},
		{name: "over-long", method: "POST", path: patches, key: "write", body: strings.Repeat(" ", bodyBytes+1), version: 1, status: 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{}
			if c.version > 0 {
				f.current = configured(c.version)
			}
			reject := func(configuration.Patch) error { return fault.New(fault.CodeInvalid, "no") }
			s := New(f, f, reject, func() any { return f.current }, func() any { return burn.Snapshot{Instance: "i"} }, hash("first"), slog.New(slog.DiscardHandler), time.Now)
			r := httptest.NewRequestWithContext(t.Context(), c.method, c.path, strings.NewReader(c.body))
			if c.key != "" {
				r.Header.Set("Authorization", "Bearer "+c.key)
			}
			a, err := s.app.Test(r, -1)
			if c.status == 413 && err != nil {
				is.True(strings.Contains(err.Error(), "exceeds")) // fiber's test connection reports it as an error
				return
			}
			is.NoErr(err)
			defer a.Body.Close()
			b, _ := io.ReadAll(a.Body)
			if a.StatusCode != c.status {
				t.Fatalf("status %d, want %d: %s", a.StatusCode, c.status, b)
			}
			is.Equal(c.name == "stale", a.Header.Get("X-Tarragonwalk-Version") == "2")
			is.True(a.StatusCode != http.StatusOK || len(b) > 0)
		})
	}
}

// Guards against an instance that accepts no operators any more after its kernel was short of memory once.
func TestAcceptAfterFailures(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	s := New(f, f, nil, nil, nil, hash("first"), slog.New(slog.DiscardHandler), time.Now)
	l := faultylistener.Listen(t, 3)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	c := http.Client{Timeout: 20 * time.Second}
	p, err := c.Get("http://" + l.Addr().String() + "/")
	is.NoErr(err)
	p.Body.Close()
	is.NoErr(s.Shutdown(t.Context()))
	<-ended
}
