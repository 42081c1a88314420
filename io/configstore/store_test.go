package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/io/objectstore"
	standin "tarragonwalk/io/standin/objectstore"
)

func start(t *testing.T) (*standin.Store, func(folder string) *Store) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := standin.New(1)
	go func() { _ = o.Serve(l) }()
	t.Cleanup(o.Close)

	return o, func(folder string) *Store {
		c := objectstore.New(netip.MustParseAddrPort(l.Addr().String()), 1000, 1000)

		return New(c, configuration.NewHolder(), folder, slog.New(slog.DiscardHandler))
	}
}

func patch(base int, operation string) configuration.Patch {
	return configuration.Patch{
		BaseVersion: base,
		Operation:   operation,
		Patch:       json.RawMessage(`{"Deployments":{"` + operation + `":{"Model":"m"}}}`),
	}
}

func await(t *testing.T, s *Store, version int) {
	t.Helper()
	for end := time.Now().Add(4 * time.Second); s.version() < version; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d after 4 s, want %d", s.version(), version)
		}
	}
}

// Guards against a lost response that creates two versions or is reported as a failure, for a first send and a resend.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	o, open := start(t)
	o.SetLoseAnswers(1)
	s := open("")
	for range 2 {
		c, err := s.Append(t.Context(), patch(0, "a"))
		is.NoErr(err)
		is.Equal(c.Version, 1)
	}
	_, err := s.Append(t.Context(), patch(1, "b"))
	is.NoErr(err)
	c, err := open("").Append(t.Context(), patch(0, "a"))
	is.NoErr(err)
	is.Equal(c.Version, 1) // the same version as in the first response
	entries, _, err := s.objects.List(t.Context(), prefix, "", 0)
	is.NoErr(err)
	is.Equal(len(entries), 2)
}

// lagging hides all versions from listings.
type lagging struct{ objects }

func (lagging) List(context.Context, string, string, int) ([]objectstore.Entry, int64, error) {
	return nil, 1, nil
}

// Guards against refusing the resend of an accepted patch because the listing does not show its version yet.
func TestResendWithLaggingListing(t *testing.T) {
	is := is.New(t)
	_, open := start(t)
	s := open("")
	for n, operation := range []string{"a", "b"} {
		_, err := s.Append(t.Context(), patch(n, operation))
		is.NoErr(err)
	}
	for n, operation := range []string{"a", "b"} {
		behind := open("")
		behind.objects = lagging{behind.objects}
		c, err := behind.Append(t.Context(), patch(n, operation))
		is.NoErr(err)
		is.Equal(c.Version, n+1)
		_, err = behind.Append(t.Context(), patch(n, "x"))
		is.Equal(fault.CodeOf(err), fault.CodeStaleVersion)
	}
}

// Guards against a restart during a store outage that loses a version received from a peer.
func TestRestartAfterPeerUpdate(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	o, open := start(t)
	first := open("")
	c, err := first.Append(t.Context(), patch(0, "a"))
	is.NoErr(err)
	is.NoErr(o.SetRefused(true))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := open(folder)
	go s.Follow(ctx)
	s.holder.Apply(c) // as core/exchange does
	restored := 0
	for end := time.Now().Add(4 * time.Second); restored < 1 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := s.restore(); err == nil {
			restored = c.Version
		}
	}
	is.Equal(restored, 1)
}

// Guards against two concurrent patches that both create the same version.
func TestRace(t *testing.T) {
	is := is.New(t)
	_, open := start(t)
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for n, operation := range []string{"a", "b"} {
		s := open("")
		wg.Go(func() { _, errs[n] = s.Append(t.Context(), patch(0, operation)) })
	}
	wg.Wait()
	lost := errors.Join(errs...)
	is.True((errs[0] == nil) != (errs[1] == nil))
	var e *fault.Error
	is.True(errors.As(lost, &e))
	is.Equal(e.Code, fault.CodeStaleVersion)
	is.Equal(e.Version, int64(1))
}

// Guards against missing a version after a fault of the store.
func TestFollow(t *testing.T) {
	cases := []struct {
		name   string
		before func(o *standin.Store)
		after  func(o *standin.Store)
	}{
		{name: "outage", before: func(o *standin.Store) { o.SetUnavailable(true) }, after: func(o *standin.Store) { o.SetUnavailable(false) }},
		{name: "frozen watch", before: func(o *standin.Store) { o.SetFrozen(true) }, after: func(*standin.Store) {}},
		{name: "410", before: func(o *standin.Store) { o.SetLogLimit(0) }, after: func(*standin.Store) {}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o, open := start(t)
			writer, s := open(""), open("")
			_, err := writer.Append(t.Context(), patch(0, "a"))
			is.NoErr(err)
			s.Follow(t.Context())
			is.Equal(s.version(), 1)
			tc.before(o)
			time.Sleep(50 * time.Millisecond)
			is.Equal(s.version(), 1)
			tc.after(o)
			_, err = writer.Append(t.Context(), patch(1, "b"))
			is.NoErr(err)
			await(t, s, 2)
		})
	}
}

// Guards against a restart that returns to an older version, during an outage or with a store that lags behind.
func TestRestart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	o, open := start(t)
	s := open(folder)
	for n, operation := range []string{"a", "b"} {
		_, err := s.Append(t.Context(), patch(n, operation))
		is.NoErr(err)
	}
	is.NoErr(o.SetRefused(true))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	again := open(folder)
	again.Follow(ctx)
	is.Equal(again.version(), 2)

	_, openLagging := start(t)
	_, err := openLagging("").Append(t.Context(), patch(0, "a"))
	is.NoErr(err)
	lagging := openLagging(folder)
	lagging.Follow(ctx)
	_, err = lagging.refresh(ctx)
	is.NoErr(err)
	is.Equal(lagging.version(), 2)
	c, err := lagging.Append(ctx, patch(2, "c"))
	is.NoErr(err)
	is.Equal(c.Version, 3)
}
