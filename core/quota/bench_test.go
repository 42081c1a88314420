package quota

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"tarragonwalk/core/gossip"
	"tarragonwalk/core/ratelimit"
)

// BenchmarkTake measures the cost of a request beside the reports of five zones and eight instances.
func BenchmarkTake(b *testing.B) {
	at := testEpoch
	q := New("z", single{}, rand.New(rand.NewPCG(1, 1)), at.Add(-time.Hour), slog.New(slog.DiscardHandler))
	uses := []gossip.QuotaUse{{Workspace: hashOf("w"), Admitted: 10, Asked: 10, Recent: 1}}
	for _, name := range []string{"1", "2", "3", "4", "5"} {
		q.ObserveZone(name, uses, at)
		q.Observe("e"+name, "z", uses, at)
	}
	l := ratelimit.Limit{RatePerSecond: 1e6, Window: 10 * time.Second, Overage: 0.1, Slack: 20}
	for b.Loop() {
		at = at.Add(time.Microsecond)
		if _, err := q.Take("w", l, at); err != nil && at.Sub(testEpoch) < time.Second {
			b.Fatal(err)
		}
	}
}
