package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// maxAnnounced bounds the workspaces in a heartbeat and in a report.
	maxAnnounced = 64
	// sweepInterval is how often, and after how long at least, the reports of instances that are gone are dropped. It is longer than windows.
	sweepInterval = time.Minute
	// announcedPart is the part of an instance's even share of a limit from which on a workspace is announced. What remains unknown is below
	// this part of the limit.
	announcedPart = 1.0 / 32
)

// FillHeartbeat adds the uses of this instance to a heartbeat.
func (q *Quota) FillHeartbeat(b *gossip.Heartbeat, at time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	b.Quotas = q.ownUses(at)
	if at.Sub(q.sweptAt) < sweepInterval {
		return
	}
	q.sweptAt = at
	for name, p := range q.peers {
		if at.Sub(p.madeAt) > sweepInterval && q.fleet.Gone(name) {
			delete(q.peers, name)
		}
	}
}

// ownUses returns the uses of this instance that others have to know. The caller holds the lock.
func (q *Quota) ownUses(at time.Time) []gossip.QuotaUse {
	type weighted struct {
		use  gossip.QuotaUse
		part float64
	}
	var list []weighted
	members := float64(q.members())
	for name, u := range q.uses {
		if at.Sub(u.usedAt) > 2*u.limit.Window {
			delete(q.uses, name)

			continue
		}
		u.slots.advance(at)
		admitted, part := float64(u.slots.admittedSum)+q.phantom(u.limit, at), float64(u.slots.askedSum)/u.limit.Requests()
		if part*members < announcedPart {
			continue
		}
		_, recent := u.slots.since(recentSpan - u.slots.width)
		list = append(list, weighted{
			use: gossip.QuotaUse{
				Workspace: u.hash,
				Admitted:  int(math.Round(admitted)),
				Expiring:  u.slots.expiring(recentSpan),
				Asked:     u.slots.askedSum,
				Recent:    recent,
			},
			part: part,
		})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.part, a.part), cmp.Compare(a.use.Workspace, b.use.Workspace))
	})
	if len(list) > maxAnnounced {
		list = list[:maxAnnounced]
	}
	var uses []gossip.QuotaUse
	for _, l := range list {
		uses = append(uses, l.use)
	}

	return uses
}

// ZoneUses returns the sums over the instances of this zone that are heard from themselves, with this one. Silent ones count with their
// shares until they are gone.
func (q *Quota) ZoneUses(at time.Time) []gossip.QuotaUse {
	q.lock.Lock()
	defer q.lock.Unlock()
	type sum struct{ admitted, expiring, asked, recent float64 }
	sums := map[int]*sum{}
	add := func(e gossip.QuotaUse, admitted, part float64) {
		s := sums[e.Workspace]
		if s == nil {
			s = &sum{}
			sums[e.Workspace] = s
		}
		s.admitted += admitted
		s.expiring += float64(e.Expiring) * part
		s.asked += float64(e.Asked)
		s.recent += float64(e.Recent) * part
	}
	for _, e := range q.ownUses(at) {
		add(e, float64(e.Admitted), 1)
	}
	for name, p := range q.peers {
		if p.zone != q.zone {
			continue
		}
		age, state := at.Sub(p.madeAt), p.state(func() bool { return q.fleet.Gone(name) }, at)
		for hash, e := range p.uses {
			if u := q.byHash(hash); state == sourceFresh {
				add(e, extrapolated(e, age), 1)
			} else {
				add(e, u.left("/"+name, e, age, state), 0)
			}
		}
	}
	list := make([]gossip.QuotaUse, 0, len(sums))
	for hash, s := range sums {
		list = append(list, gossip.QuotaUse{
			Workspace: hash,
			Admitted:  int(math.Round(s.admitted)),
			Expiring:  int(math.Round(s.expiring)),
			Asked:     int(math.Round(s.asked)),
			Recent:    int(math.Round(s.recent)),
		})
	}
	slices.SortFunc(list, func(a, b gossip.QuotaUse) int { return cmp.Compare(a.Workspace, b.Workspace) })

	return list
}

// extrapolated returns the requests in the window now of an instance that reported its use an age ago and goes on like that.
func extrapolated(e gossip.QuotaUse, age time.Duration) float64 {
	part := age.Seconds() / recentSpan.Seconds()
	since := part * float64(e.Recent) * min(1, float64(e.Admitted)/max(1, float64(e.Asked)))

	return max(0, float64(e.Admitted)-float64(e.Expiring)*min(1, part)+since)
}

// byHash returns the use of the workspace with a hash, nil if there was none lately. The caller holds the lock.
func (q *Quota) byHash(hash int) *use {
	for _, u := range q.uses {
		if u.hash == hash {
			return u
		}
	}

	return nil
}

// Observe applies the uses that another instance sent at a time.
func (q *Quota) Observe(peer, zone string, uses []gossip.QuotaUse, at time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	observe(q.peers, peer, zone, uses, at)
	q.observed++
	q.heard = true
}

// ObserveZone applies the sums over the instances of another zone as of a time.
func (q *Quota) ObserveZone(zone string, uses []gossip.QuotaUse, at time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	observe(q.zones, zone, zone, uses, at)
	q.observed++
	q.heard = true
}

// ObserveDigest applies the sums over the instances of this zone as of a time, which include the own uses that this instance had sent.
func (q *Quota) ObserveDigest(uses, own []gossip.QuotaUse, at time.Time) {
	mine := map[int]gossip.QuotaUse{}
	for _, e := range own {
		mine[e.Workspace] = e
	}
	others := make([]gossip.QuotaUse, 0, len(uses))
	for _, e := range uses {
		m := mine[e.Workspace]
		e.Admitted = max(0, e.Admitted-m.Admitted)
		e.Expiring = max(0, e.Expiring-m.Expiring)
		e.Asked = max(0, e.Asked-m.Asked)
		e.Recent = max(0, e.Recent-m.Recent)
		others = append(others, e)
	}
	q.ObserveZone(q.zone, others, at)
}

// ForgetDigest drops the sums over this zone, when this instance becomes a gateway and hears from its members themselves.
func (q *Quota) ForgetDigest() {
	q.lock.Lock()
	defer q.lock.Unlock()
	delete(q.zones, q.zone)
	q.observed++
}

func observe(sources map[string]*source, key, zone string, uses []gossip.QuotaUse, at time.Time) {
	s := sources[key]
	if s != nil && at.Before(s.madeAt) {
		return
	}
	byHash := make(map[int]gossip.QuotaUse, len(uses))
	for _, e := range uses {
		byHash[e.Workspace] = e
	}
	sources[key] = &source{
		zone:   zone,
		madeAt: at,
		uses:   byHash,
	}
}
