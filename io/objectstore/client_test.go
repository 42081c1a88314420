package objectstore_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/objectstore"
	standin "tarragonwalk/io/standin/objectstore"
)

func start(t *testing.T) (*standin.Store, *objectstore.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := standin.New(1)
	go func() { _ = s.Serve(l) }()
	address := netip.MustParseAddrPort(l.Addr().String())
	waitForServing(t, address)
	c := objectstore.New(address, 1000, 1000)
	t.Cleanup(func() { c.Close(); s.Close() })

	return s, c
}

// waitForServing returns once the stand-in accepts connections. Until then, a connection waits in the listener's backlog. If
// the test then closes the listener, the connection is reset, which is an ambiguous failure instead of the refused
// connection that the test needs.
func waitForServing(t *testing.T, address netip.AddrPort) {
	t.Helper()
	c := objectstore.New(address, 1000, 1000)
	defer c.Close()
	_, _, err := c.Get(t.Context(), "warm-up")
	if fault.CodeOf(err) != fault.CodeNotFound {
		t.Fatal(err)
	}
}

// Guards against wrong results of conditional writes and wrong fault codes.
func TestConditions(t *testing.T) {
	is := is.New(t)
	s, c := start(t)
	ctx := t.Context()
	v, err := c.Put(ctx, "a/b c", []byte("1"), 0)
	is.NoErr(err)
	_, err = c.Put(ctx, "a/b c", []byte("2"), 0)
	is.Equal(fault.CodeOf(err), fault.CodeConflict)
	_, err = c.Put(ctx, "a/b c", []byte("2"), v)
	is.NoErr(err)
	is.Equal(fault.CodeOf(c.Delete(ctx, "a/b c", v)), fault.CodeConflict)
	_, err = c.Put(ctx, "a/big", make([]byte, standin.MaxValueBytes+1), 0)
	is.Equal(fault.CodeOf(err), fault.CodeTooLarge)
	entries, revision, err := c.List(ctx, "a/", "", 10)
	is.NoErr(err)
	is.Equal(entries, []objectstore.Entry{{Key: "a/b c", Version: 2}})
	is.NoErr(c.Delete(ctx, "a/b c", 2))
	changes, _, err := c.Watch(ctx, "a/", revision, time.Now().Add(time.Second))
	is.NoErr(err)
	is.Equal(len(changes), 1)
	s.SetLogLimit(0)
	_, _, err = c.Watch(ctx, "a/", revision, time.Now())
	is.Equal(fault.CodeOf(err), fault.CodeStaleVersion) // 410
}

// Guards against reporting a write as failed that took effect, and against writing it twice.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	s, c := start(t)
	s.SetLoseAnswers(1)
	v, err := c.Put(t.Context(), "k", []byte("mine"), 0)
	is.NoErr(err)
	is.Equal(v, int64(1))
	v, err = c.Put(t.Context(), "k", []byte("again"), 1)
	is.NoErr(err)
	is.Equal(v, int64(2))
	is.NoErr(c.Delete(t.Context(), "k", 2))
	_, writes := s.Calls()
	is.Equal(writes, int64(3))
}

// Guards against two successful writes of the same version while responses are lost.
func TestRaceWithLostAnswers(t *testing.T) {
	is := is.New(t)
	s, c := start(t)
	s.SetLoseAnswers(0.5)
	var wg sync.WaitGroup
	errs := make([]error, 8)
	for n := range errs {
		wg.Go(func() { _, errs[n] = c.Put(context.Background(), "k", []byte{byte(n)}, 0) })
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
		} else {
			is.Equal(fault.CodeOf(err), fault.CodeConflict)
		}
	}
	is.Equal(won, 1)
}

// Guards against a wrong fault code for a write during an outage, and against a client that does not recover.
func TestOutage(t *testing.T) {
	cases := []struct {
		name string
		set  func(s *standin.Store, on bool) error
		code fault.Code
	}{
		{name: "503", set: func(s *standin.Store, on bool) error { s.SetUnavailable(on); return nil }, code: fault.CodeStoreUnavailable},
		{name: "refused", set: (*standin.Store).SetRefused, code: fault.CodeStoreUnavailable},
		{name: "silent", set: func(s *standin.Store, on bool) error { s.SetSilent(on); return nil }, code: fault.CodeOutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s, c := start(t)
			is.NoErr(tc.set(s, true))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := c.Put(ctx, "k", []byte("v"), 0)
			is.Equal(fault.CodeOf(err), tc.code)
			is.NoErr(tc.set(s, false))
			_, err = c.Put(t.Context(), "k", []byte("v"), 0)
			is.NoErr(err)
		})
	}
}

// Guards against failing when a pooled connection has stopped responding.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	s, c := start(t)
	_, err := c.Put(t.Context(), "k", []byte("1"), 0)
	is.NoErr(err)
	s.SilenceEstablished()
	_, err = c.Put(t.Context(), "k", []byte("2"), 1)
	is.NoErr(err)
}

// Guards against reads that fail when the store's rate limit refuses the first attempt.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	s, c := start(t)
	s.SetLimits(20, 0)
	for range 25 {
		_, _, err := c.Get(t.Context(), "k")
		is.Equal(fault.CodeOf(err), fault.CodeNotFound)
	}
}

// Guards against calls that are sent after the client was closed.
func TestClosed(t *testing.T) {
	is := is.New(t)
	s, c := start(t)
	reads, writes := s.Calls()
	c.Close()
	_, err := c.Put(t.Context(), "k", []byte("v"), 0)
	is.Equal(fault.CodeOf(err), fault.CodeStoreUnavailable)
	_, _, err = c.Get(t.Context(), "k")
	is.Equal(fault.CodeOf(err), fault.CodeStoreUnavailable)
	r, w := s.Calls()
	is.Equal(r, reads)
	is.Equal(w, writes)
}

// Guards against a watch that ends too early: a follower then cannot tell that nothing changed until the end of the poll,
// and its next poll is shorter.
func TestWatchLastsUntilItsTime(t *testing.T) {
	is := is.New(t)
	_, c := start(t)
	for range 5 {
		until := time.Now().Add(20*time.Millisecond + 990*time.Microsecond)
		changes, _, err := c.Watch(t.Context(), "open/", 0, until)
		is.NoErr(err)
		is.Equal(len(changes), 0)
		is.True(!time.Now().Before(until))
	}
}
