package lifecheck

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/quarantine"
	"tarragonwalk/internal/fakeobjects"
	"tarragonwalk/io/tcp"
)

// Guards against a sound part that is suspected because servers reset connections, and against a crash that goes unnoticed.
func TestServerThatLivesHasNotCrashed(t *testing.T) {
	is := is.New(t)
	q := quarantine.New(fakeobjects.New(), time.Now, slog.New(slog.DiscardHandler))
	c := New(q, tcp.NewDialer(Timeout).DialContext, time.Now)
	for n := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		lives := netip.MustParseAddrPort(l.Addr().String())
		l, err = net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(l.Close())
		crashed := netip.MustParseAddrPort(l.Addr().String())
		c.RecordLoss(backend.Server{ID: fmt.Sprint("lives", n), Address: lives}, "", []string{"sound"}, time.Now())
		c.RecordLoss(backend.Server{ID: fmt.Sprint("crashed", n), Address: crashed}, "", []string{"crashing"}, time.Now())
	}
	is.True(!c.MayRetry([]string{"sound"}))
	deadline := time.Now().Add(10 * time.Second)
	for !c.MayRetry([]string{"sound"}) || c.checking() > 0 {
		is.True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	is.True(!c.MayRetry([]string{"crashing"}))
}

func (c *Checker) checking() int {
	c.lock.Lock()
	defer c.lock.Unlock()

	return len(c.pending)
}
