package quota

import (
	"expvar"
	"time"

	"tarragonwalk/core/gossip"
	"tarragonwalk/core/ratelimit"
)

const (
	// viewLife is how long the sum over the reports is used before it is computed again.
	viewLife = 10 * time.Millisecond
	// freshLife is the age up to which a report is extrapolated. Reports on other zones come several times a second, at most about half a
	// second old; after more than a second the instance or zone counts as silent.
	freshLife = 1200 * time.Millisecond
	// spread covers the difference in the ages of the reports that instances use at the same time: one admits by older reports while
	// another has already seen the room that is left.
	spread = 150 * time.Millisecond
	// recentSpan is the span of the counts of recent requests and of those that leave the window soon.
	recentSpan = 500 * time.Millisecond
	// settleTime is how long after a start instances may not have been heard from although they are there.
	settleTime = 3 * time.Second
	// idleShare is the part of a limit that is kept for instances without recent demand.
	idleShare = 0.03
	// idleRequests is the number of requests that each instance counts as asked for in addition, so that shares of workspaces with few
	// requests do not depend on chance.
	idleRequests = 0.5
	// surgeTolerance is the part of the tolerance that a surge may use up, and aimTolerance the part that is aimed at: what is refused below
	// the limit is lost for callers, so the error of the estimates is centred above it.
	surgeTolerance = 0.7
	aimTolerance   = 0.4
	// maxSurge is the largest expected demand of a workspace, as a multiple of its limit's rate.
	maxSurge = 8
	// priorRequests is the number of expected requests to which the own demand is compared with as many more, so that a few requests by
	// chance do not look like a surge.
	priorRequests = 3
	// unknownMembers is the number of instances that is assumed while it is unknown.
	unknownMembers = 64
	// logInterval is the least time between log lines on refusals of one workspace.
	logInterval = 5 * time.Second
)

// counters counts decisions.
var counters = expvar.NewMap("RequestQuotas")

// view is what the reports say of one workspace.
type view struct {
	// others is the number of requests that others admitted in the window, as far as it is known, phantom what a former process of this
	// instance may have admitted.
	others, phantom float64
	// expected is the number of requests asked of others since their reports and within the spread, own the number admitted here and asked
	// the number asked for here in the same time.
	expected, own, asked float64
	// usual is the number of requests that are usually asked for here in that time.
	usual float64
	// worst is the number of requests asked of the fleet in that time under the largest expected surge.
	worst float64
	// rounding is added to the share before it is rounded down.
	rounding float64
	// share is this instance's share of the demand, demand that of all instances in the window.
	share, demand float64
	// stale says that others are silent, age is the mean age of the reports.
	stale bool
	age   time.Duration
}

// surge returns by how much demand seems to have grown since the others' reports, judged by the own one: all instances of a zone get
// their part of it. It does not consider a lower demand.
func (v *view) surge(asked float64) float64 {
	return max(1, (asked+priorRequests)/(v.usual+priorRequests))
}

// left returns the number of requests that a source which is silent for a time may have admitted in the window: at most its last share, or
// what it had admitted before, and only the latter if it is gone. A nil use, of a workspace without requests here, keeps what was reported.
func (u *use) left(key string, e gossip.QuotaUse, age time.Duration, state sourceState) float64 {
	if u == nil {
		return float64(e.Admitted)
	}
	before := float64(e.Admitted) * max(0, 1-age.Seconds()/u.limit.Window.Seconds())
	if state == sourceGone {
		return before
	}

	return max(before, u.shares[key]*u.limit.Requests())
}

// viewOf sums up the reports for a workspace at a time. The caller holds the lock.
func (q *Quota) viewOf(u *use, at time.Time) view {
	var v view
	total, members := u.limit.Requests(), float64(q.members())
	var rate, ages, asked, oldest float64
	fresh := 0
	shares := map[string]float64{}
	q.eachSource(at, u.limit.Window, func(key string, s *source, state sourceState) {
		e, age := s.uses[u.hash], at.Sub(s.madeAt)
		switch state {
		case sourceFresh:
			v.others += max(0, float64(e.Admitted)-float64(e.Expiring)*min(1, age.Seconds()/recentSpan.Seconds()))
			r := float64(e.Recent) / recentSpan.Seconds()
			rate += r
			ages += r * age.Seconds()
			oldest = max(oldest, age.Seconds())
			fresh++
		case sourceSilent:
			v.stale = true
			v.others += u.left(key, e, age, state)
		case sourceGone:
			v.others += u.left(key, e, age, state)

			return
		}
		shares[key] = float64(e.Asked)
		asked += float64(e.Asked)
	})
	horizon := oldest
	if rate > 0 {
		horizon = ages / rate
	}
	v.age = time.Duration(horizon * float64(time.Second))
	if fresh > 0 {
		horizon += spread.Seconds()
	}
	v.expected = rate * horizon
	if horizon > 0 {
		n, a := u.slots.since(time.Duration(horizon * float64(time.Second)))
		v.own, v.asked = float64(n), float64(a)
	}
	// The own demand is compared with that of others as of the same time: else the shares would grow everywhere at once in a surge.
	ownAsked := max(0, float64(u.slots.askedSum)-v.asked)
	if window := u.limit.Window.Seconds(); horizon < window {
		ownAsked *= window / (window - horizon)
	}
	v.demand = asked + ownAsked
	reserve := idleShare / members
	v.share = reserve + (1-idleShare)*(ownAsked+idleRequests)/(v.demand+idleRequests*members)
	v.usual = v.expected * v.share / max(1-v.share, idleShare)
	v.worst = max(maxSurge*u.limit.RatePerSecond, 1.5*rate) * horizon
	period := horizon
	if fresh == 0 {
		period = u.limit.Window.Seconds()
	}
	if at.Sub(u.roundedAt).Seconds() >= period {
		u.rounding, u.roundedAt = q.random.Float64(), at
	}
	v.rounding = u.rounding
	if !v.stale {
		for key, n := range shares {
			shares[key] = n / max(v.demand, 1)
		}
		u.shares = shares
	} else {
		v.others -= reserve * total
	}
	v.phantom = q.phantom(u.limit, at)

	return v
}

// phantom returns what a former process of this instance may have admitted in the window: its part of the limit, less half of the
// tolerance, evenly spread. It is reported to the others like own requests, so that a fleet that starts as a whole does not exceed the
// limit.
func (q *Quota) phantom(l ratelimit.Limit, at time.Time) float64 {
	up := at.Sub(q.startedAt)
	if up >= l.Window {
		return 0
	}

	return max(0, l.Requests()-l.Tolerance()/2) / float64(q.members()) * (1 - up.Seconds()/l.Window.Seconds())
}
