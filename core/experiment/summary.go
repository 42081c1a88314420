package experiment

import (
	"expvar"
	"time"

	"tarragonwalk/core/experiment/recorder"
	"tarragonwalk/core/experiment/report"
)

// readCounters returns the counters that all dispatchers of this process share.
func readCounters() map[string]int {
	counts := map[string]int{}
	if m, ok := expvar.Get("Dispatch").(*expvar.Map); ok {
		m.Do(func(v expvar.KeyValue) {
			if n, ok := v.Value.(*expvar.Int); ok {
				counts[v.Key] = int(n.Value())
			}
		})
	}

	return counts
}

func summary(name string, rec *recorder.Recorder, before map[string]int) report.Arm {
	after := readCounters()
	requests, failed := rec.Counts()
	online, batch := rec.Rates()

	return report.Arm{
		Name:                  name,
		Requests:              requests,
		Failed:                failed,
		FirstP50Millis:        millis(rec.First(p50)),
		FirstP95Millis:        millis(rec.First(p95)),
		FirstP99Millis:        millis(rec.First(p99)),
		WholeP50Millis:        millis(rec.Whole(p50)),
		WholeP99Millis:        millis(rec.Whole(p99)),
		GapP95Millis:          millis(rec.Gap(p95)),
		OnlineTokensPerSecond: online,
		BatchTokensPerSecond:  batch,
		Hedged:                after["Hedged"] - before["Hedged"],
		Moved:                 after["Moved"] - before["Moved"],
		Retried:               after["Retried"] - before["Retried"],
		Preempted:             after["Preempted"] - before["Preempted"],
	}
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}

	return float64(a) / float64(b)
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
