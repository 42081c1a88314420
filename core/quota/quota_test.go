package quota

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/ratelimit"
)

// single is a fleet of one instance.
type single struct{}

func (single) Members() int         { return 1 }
func (single) Gone(string) bool     { return false }
func (single) ZoneGone(string) bool { return false }

// Guards against a time of retry at which there is no room, requests that are charged though they did not run, and counts without a limit.
func TestTakeAlone(t *testing.T) {
	is := is.New(t)
	q := New("z", single{}, rand.New(rand.NewPCG(1, 1)), testEpoch.Add(-time.Hour), slog.New(slog.DiscardHandler))
	l := ratelimit.Limit{RatePerSecond: 5, Burst: 5, Window: time.Second, Slack: 20}
	free, err := q.Take("free", ratelimit.Limit{Window: time.Second}, testEpoch)
	is.NoErr(err)
	free()
	var last func()
	for n := range 10 {
		last, err = q.Take("w", l, testEpoch.Add(time.Duration(n)*10*time.Millisecond))
		is.NoErr(err)
	}
	at := testEpoch.Add(100 * time.Millisecond)
	_, err = q.Take("w", l, at)
	is.Equal(fault.CodeOf(err), fault.CodeQuotaExceeded)
	is.True(fault.NotRun(err))
	var failure *fault.Error
	is.True(errors.As(err, &failure))
	retryAt := failure.RetryAt
	is.True(retryAt.After(at.Add(800 * time.Millisecond)))
	is.True(!retryAt.After(testEpoch.Add(l.Window + 20*time.Millisecond)))
	last()
	last()
	_, err = q.Take("w", l, at)
	is.NoErr(err)
	_, err = q.Take("w", l, at)
	is.True(err != nil)
	_, err = q.Take("w", l, retryAt)
	is.NoErr(err)
	var b gossip.Heartbeat
	q.FillHeartbeat(&b, retryAt)
	is.Equal(len(b.Quotas), 1)
	is.Equal(b.Quotas[0].Admitted, 10)
}
