package quota

import (
	"hash/fnv"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/ratelimit"
)

type fleet interface {
	// Members returns the number of instances with this one, 0 while it is unknown.
	Members() int
	// Gone reports whether an instance is known to run no more, and not only to be silent.
	Gone(peer string) bool
	// ZoneGone reports the same of all instances of an availability zone.
	ZoneGone(zone string) bool
}

// Quota counts the requests of workspaces and decides which to admit. It is safe for concurrent use.
type Quota struct {
	zone      string
	fleet     fleet
	random    *rand.Rand
	startedAt time.Time
	log       *slog.Logger
	// lock guards the fields below.
	lock sync.Mutex
	// uses holds the workspaces with a limit by name. peers holds the last use that each instance reported, zones that of whole zones.
	uses  map[string]*use
	peers map[string]*source
	zones map[string]*source
	// observed counts applied reports.
	observed int
	// heard is set once any other instance has reported.
	heard bool
	// sweptAt is when reports of instances that are gone were last dropped.
	sweptAt time.Time
}

// use is the own use of a quota and what is known of others.
type use struct {
	name  string
	hash  int
	limit ratelimit.Limit
	slots *slots
	// usedAt is the time of the last request.
	usedAt time.Time
	// shares are the shares of the demand by source while all were heard from, own is this instance's.
	shares map[string]float64
	// view is computed from the reports at viewedAt, when observed reports had been applied.
	view     view
	viewedAt time.Time
	observed int
	// rounding is added to shares before they are rounded down; it is drawn again at roundedAt.
	rounding  float64
	roundedAt time.Time
	loggedAt  time.Time
	// refused counts the refusals since the last log line.
	refused int
}

// New returns the quotas of an instance in a zone, which starts at a time.
func New(zone string, f fleet, random *rand.Rand, at time.Time, log *slog.Logger) *Quota {
	return &Quota{
		zone:      zone,
		fleet:     f,
		random:    random,
		startedAt: at,
		log:       log,
		uses:      map[string]*use{},
		peers:     map[string]*source{},
		zones:     map[string]*source{},
	}
}

// hashOf returns the hash of a workspace's name in 52 bits, which JSON numbers hold exactly. Two of 10,000 names have the same one with a
// probability of 1 in 90 million; their uses would be added up.
func hashOf(name string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) //nolint:errcheck // never fails

	return int(h.Sum64() >> 12) //nolint:gosec // 52 bits
}

// Take admits a request of a workspace at a time, or returns an error with the time at which a retry may succeed. The function refund credits
// it back if it has not run; further calls do nothing. Without a limit nothing is counted.
func (q *Quota) Take(workspace string, limit ratelimit.Limit, at time.Time) (refund func(), err error) {
	if !limit.IsSet() {
		return func() {}, nil
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	u := q.use(workspace, limit, at)
	admitted := q.admits(u, at)
	u.slots.ask()
	u.view.asked++
	if !admitted {
		return nil, q.refuse(u, at)
	}
	u.slots.admit(u.slots.newest, 1)
	u.view.own++
	counters.Add("Admitted", 1)

	t := &ticket{
		quota: q,
		use:   u,
		slot:  u.slots.newest,
		slots: u.slots,
	}

	return t.refund, nil
}

// use returns the use of a workspace's quota, up to date at a time. The caller holds the lock.
func (q *Quota) use(workspace string, limit ratelimit.Limit, at time.Time) *use {
	u := q.uses[workspace]
	if u == nil {
		u = &use{
			name:   workspace,
			hash:   hashOf(workspace),
			shares: map[string]float64{},
		}
		q.uses[workspace] = u
	}
	if u.limit != limit {
		if u.limit.Window != limit.Window {
			u.slots = newSlots(limit.Window, at)
		}
		u.limit, u.viewedAt = limit, time.Time{}
	}
	u.usedAt = at
	u.slots.advance(at)
	if u.observed != q.observed || at.Sub(u.viewedAt) >= viewLife {
		u.view, u.viewedAt, u.observed = q.viewOf(u, at), at, q.observed
	}

	return u
}

// admits decides on a request; the caller holds the lock. What others have admitted since their reports is unknown. A request is admitted if
// all that is expected to be asked for in that time fits into the room that the reports left, and with the probability with which it would
// fit if it does not. So that a sudden surge, of which no report can tell yet, stays within the tolerance, each instance also uses no more
// than its share of the room and of most of the tolerance, or, where shares are below one request, admits no more than the probability that
// holds under the largest expected surge.
func (q *Quota) admits(u *use, at time.Time) bool {
	v, total := &u.view, u.limit.Requests()
	if at.Sub(q.startedAt) < settleTime && q.fleet.Members() != 1 {
		if alone := q.admitsAlone(u, at); !alone || !q.heard {
			return alone
		}
	}
	aim := aimTolerance * u.limit.Tolerance()
	if v.stale || v.expected == 0 {
		aim = 0
	}
	free := total + aim - float64(u.slots.admittedSum) - v.phantom - v.others
	if v.stale && v.expected == 0 {
		return free+v.rounding >= 1 // with all others silent, own use is bounded by the last share alone
	}
	if free < 1 || v.expected == 0 {
		return free >= 1
	}
	room := free + v.own
	asked := v.asked + 1
	chance := 1.0
	if expected := v.expected*v.surge(asked) + asked; expected > room {
		chance = room / expected
	}
	bound := room - aim + surgeTolerance*u.limit.Tolerance()
	if bound < v.worst {
		switch share := v.share * bound; {
		case share < 1:
			chance = min(chance, bound/v.worst)
		case v.own+1 > math.Floor(share+v.rounding):
			return false
		}
	}

	return chance >= 1 || q.random.Float64() < chance
}

// admitsAlone decides while few others may have been heard from after a start: former processes may have used the limit up until then, so that all
// instances together use half of the tolerance, and what has left the window since.
func (q *Quota) admitsAlone(u *use, at time.Time) bool {
	total, up := u.limit.Requests(), at.Sub(q.startedAt).Seconds()
	budget := u.limit.Tolerance()/2 + total*min(1, up/u.limit.Window.Seconds())
	share := budget / float64(q.members())
	own := float64(u.slots.admittedSum)
	if own+1 <= share {
		return true
	}

	return own < share && q.random.Float64() < budget/(total*settleTime.Seconds()/u.limit.Window.Seconds())
}

// members returns the number of instances, or a large one while it is unknown.
func (q *Quota) members() int {
	if n := q.fleet.Members(); n > 0 {
		return n
	}

	return unknownMembers
}

// refuse returns the failure of a request that is not admitted and logs it at intervals. The caller holds the lock.
func (q *Quota) refuse(u *use, at time.Time) error {
	v, total := &u.view, u.limit.Requests()
	retryAt := q.retryAt(u, at)
	counters.Add("Refused", 1)
	u.refused++
	if at.Sub(u.loggedAt) >= logInterval {
		q.log.Warn("request quota exceeded", "workspace", u.name, "limit", total, "window_ms", u.limit.Window.Milliseconds(),
			"own", u.slots.admittedSum, "others", int(v.others), "others_age_ms", v.age.Milliseconds(), "share", v.share,
			"silent_sources", v.stale, "retry_ms", retryAt.Sub(at).Milliseconds(), "refused_since_last", u.refused)
		u.loggedAt, u.refused = at, 0
	}
	err := fault.New(fault.CodeQuotaExceeded, "the request quota of the workspace is used up")
	err.RetryAt = retryAt

	return err
}

// retryAt returns when this instance's share has room for a request if the demand stays as it is, at most a window from now.
func (q *Quota) retryAt(u *use, at time.Time) time.Time {
	v, total := &u.view, u.limit.Requests()
	used := float64(u.slots.admittedSum) + v.phantom + v.others
	missing := max(1, used+1-total)
	last := at.Add(u.limit.Window)
	// Others' requests leave the window evenly; own ones are known exactly.
	rate := (v.others + v.phantom) / u.limit.Window.Seconds()
	retryAt := u.slots.roomAt(missing, at)
	if rate > 0 {
		if t := at.Add(time.Duration(missing / rate * float64(time.Second))); t.Before(retryAt) {
			retryAt = t
		}
	}
	if demand := v.demand; demand > 0 {
		// While more is asked for than fits, a freed place is one of many requests'.
		waiting := time.Duration(missing / max(total*v.share, 1) * float64(u.limit.Window))
		if t := at.Add(waiting); demand > total && t.After(retryAt) {
			retryAt = t
		}
	}
	if least := at.Add(viewLife); retryAt.Before(least) {
		retryAt = least
	}
	if retryAt.After(last) {
		return last
	}

	return retryAt
}
