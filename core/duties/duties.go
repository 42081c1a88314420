package duties

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// Interval is how often changes of the set of live instances are processed, and the time between ticks for Expire and SearchOrphans.
	Interval = 200 * time.Millisecond
	// retryPause is the minimum time between two searches for jobs without a holder while the set of live instances changes or such
	// jobs remain.
	retryPause = time.Second
	// maxRepeatPause bounds the time between searches while jobs without a holder remain and the set of live instances is the same.
	maxRepeatPause = 4 * time.Second
	// sweepInterval is how often the jobs are listed when nothing has changed, to delete old ones.
	sweepInterval = time.Minute
	// orphanSearchDelay is the time after the start in which a process searches for no jobs without a holder, because it may not yet
	// have received the heartbeats of their holders.
	orphanSearchDelay = 800 * time.Millisecond
	// searchTimeout bounds a search.
	searchTimeout = 10 * time.Second
	// SmallFleet is the largest number of instances that all read the store when they start. In a larger fleet, only the watching
	// instances of each zone do.
	SmallFleet = 17
	// DiscoveryDelay is how long an instance of a larger fleet waits for heartbeats of the others before it decides whether it
	// watches: one heartbeat in each direction.
	DiscoveryDelay = 400 * time.Millisecond
)

type cluster interface {
	Expire(at time.Time) int
	ObserveStoreLost(at time.Time)
	Live() []string
	Isolated() bool
	WatchesStore(lost bool, at time.Time) bool
	WatchesServers(lost bool, at time.Time) bool
	WatchesJobEnds(lost bool, at time.Time) bool
	SearchesOrphans(lost bool, at time.Time) bool
	SearchedAt() time.Time
	RecordSearch(at time.Time)
}

type jobs interface {
	// AnnounceOrphans announces the jobs without a live holder and reports whether there are any.
	AnnounceOrphans(ctx context.Context) (remain bool, err error)
}

// Duties is what an instance does for the others. It is safe for concurrent use.
type Duties struct {
	cluster cluster
	jobs    jobs
	// storeLost reports whether this instance cannot reach the store.
	storeLost func() bool
	now       func() time.Time
	log       *slog.Logger
	started   time.Time
	// knownAt is the Unix nanosecond from which the set of live instances counts as known, 0 before addresses were read.
	knownAt atomic.Int64
	// changes is a counter that grows whenever the set of live instances changes.
	changes atomic.Int64
}

// New returns the duties of a process that starts now.
func New(c cluster, j jobs, storeLost func() bool, now func() time.Time, log *slog.Logger) *Duties {
	return &Duties{
		cluster:   c,
		jobs:      j,
		storeLost: storeLost,
		now:       now,
		log:       log,
		started:   now(),
	}
}

// NoteFleetSize records, after the first read of the addresses, from when the set of live instances counts as known.
func (d *Duties) NoteFleetSize(listed int) {
	at := d.now()
	if listed > SmallFleet {
		at = at.Add(DiscoveryDelay)
	}
	if d.knownAt.CompareAndSwap(0, at.UnixNano()) {
		d.log.Info("addresses of instances read", "listed", listed, "others_known_at", at)
	}
}

// FleetKnown reports whether the set of live instances counts as known. In a large fleet it does so only after DiscoveryDelay: if
// all instances started at once and each read the configuration, the responses would saturate the links between regions.
func (d *Duties) FleetKnown() bool {
	at := d.knownAt.Load()

	return at != 0 && d.now().UnixNano() >= at
}

// Watching reports whether this instance watches the store for its zone.
func (d *Duties) Watching() bool {
	return d.FleetKnown() && d.cluster.WatchesStore(d.storeLost(), d.now())
}

// WatchingServers reports whether this instance watches the backend servers on behalf of its region.
func (d *Duties) WatchingServers() bool {
	return d.FleetKnown() && d.cluster.WatchesServers(d.storeLost(), d.now())
}

// WatchingJobEnds reports whether this instance watches for ended jobs on behalf of its region.
func (d *Duties) WatchingJobEnds() bool {
	return d.FleetKnown() && d.cluster.WatchesJobEnds(d.storeLost(), d.now())
}

// Expire detects instances whose heartbeats have stopped, at each tick until ctx ends. It makes no calls, because the time between
// two of its ticks is also used to detect that the process was paused.
func (d *Duties) Expire(ctx context.Context, ticks <-chan time.Time) {
	watching, watchingServers, watchingEnds := false, false, false
	for {
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
		at := d.now()
		if d.storeLost() {
			d.cluster.ObserveStoreLost(at)
		}
		d.changes.Store(int64(d.cluster.Expire(at)))
		if w, s, e := d.Watching(), d.WatchingServers(), d.WatchingJobEnds(); w != watching || s != watchingServers || e != watchingEnds {
			watching, watchingServers, watchingEnds = w, s, e
			d.log.Info("store watch roles changed", "state_for_zone", w, "servers_for_region", s, "jobs_for_region", e,
				"store_lost", d.storeLost(), "instances", len(d.cluster.Live()))
		}
	}
}

// SearchOrphans announces jobs without a live holder, so that other instances take them over, and removes old jobs, on behalf of
// the whole fleet until ctx ends. It lists the jobs after the set of live instances has changed, while jobs without a holder remain,
// and at least once per sweepInterval, but not soon after another instance did.
func (d *Duties) SearchOrphans(ctx context.Context, ticks <-chan time.Time) {
	changes, remain := -1, true
	repeatPause := retryPause
	for {
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
		at := d.now()
		n := int(d.changes.Load())
		pause := sweepInterval
		switch {
		case n != changes:
			pause, repeatPause = retryPause, retryPause
		case remain:
			pause = repeatPause
		}
		if at.Sub(d.cluster.SearchedAt()) < pause || !d.maySearch(at) {
			continue
		}
		if n == changes {
			repeatPause = min(maxRepeatPause, 2*repeatPause)
		}
		d.cluster.RecordSearch(at)
		attempt, cancel := context.WithTimeout(ctx, searchTimeout)
		var err error
		remain, err = d.jobs.AnnounceOrphans(attempt)
		cancel()
		if err != nil {
			d.log.Warn("cannot list jobs", "error", err.Error())
		}
		changes = n
	}
}

// maySearch reports whether this instance is one of those that search for jobs without a holder, and knows enough of the others.
func (d *Duties) maySearch(at time.Time) bool {
	lost := d.storeLost()

	return at.Sub(d.started) >= orphanSearchDelay && !lost && d.FleetKnown() && d.cluster.SearchesOrphans(lost, at) && !d.cluster.Isolated()
}
