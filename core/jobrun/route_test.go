package jobrun

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

// Guards against items of an accepted job that are given up, or run as items of another route, because a later configuration changes what its
// path selects though its route has not ended, and against items that wait for a route that has ended.
func TestRouteOfAcceptedJob(t *testing.T) {
	changed := func(change func(r *route.Route)) route.Route {
		r := testRoute
		change(&r)

		return r
	}
	below := changed(func(r *route.Route) { r.Name, r.Prefix = "below", "/b/1/" })
	online := changed(func(r *route.Route) { r.Name, r.Prefix, r.Kind = "online", "/b/1/", route.KindStream })
	renamed := changed(func(r *route.Route) { r.Name = "renamed" })
	moved := changed(func(r *route.Route) { r.Host, r.Prefix = "other", "/c/" })
	above := changed(func(r *route.Route) { r.Name, r.Prefix = "above", "/" })
	noBatch := changed(func(r *route.Route) { r.Kind = route.KindStream })
	other := changed(func(r *route.Route) { r.Name, r.Prefix = "other", "/other/" })
	const accepted = 5
	for _, c := range []struct {
		name    string
		version int
		routes  []route.Route
		want    string
	}{
		{"unchanged", accepted + 1, []route.Route{testRoute}, "jobs"},
		{"an online route is added below", accepted + 1, []route.Route{testRoute, online}, "jobs"},
		{"a batch route is added below", accepted + 1, []route.Route{below, testRoute}, "jobs"},
		{"renamed", accepted + 1, []route.Route{other, renamed}, "renamed"},
		{"renamed, an online route is added below", accepted + 1, []route.Route{renamed, online}, "renamed"},
		{"moved to another host and prefix", accepted + 1, []route.Route{online, moved}, "jobs"},
		{"replaced by a batch route above", accepted + 1, []route.Route{above}, "above"},
		{"removed and added again", accepted + 2, []route.Route{testRoute}, "jobs"},
		{"removed", accepted + 1, []route.Route{other}, ""},
		{"removed, an online route is left below", accepted + 1, []route.Route{online}, ""},
		{"no batch route any more", accepted + 1, []route.Route{noBatch}, ""},
		{"older configuration with the route", accepted - 1, []route.Route{testRoute}, "jobs"},
		{"older configuration with another route there", accepted - 1, []route.Route{above}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &Runner{routes: tableOf{&route.Table{Version: c.version, Routes: c.routes}}}
			j := &work.Job{Host: "h:80", Target: "/b/1/2", Route: testRoute.Name, Prefix: testRoute.Prefix, RouteVersion: accepted}
			got := ""
			if rt := r.findRoute(j); rt != nil {
				got = rt.Name
			}
			is.Equal(got, c.want)
			key, counted := r.tokensKey(j, r.findRoute(j))
			is.Equal(counted, c.want != "" || c.version < accepted)
			is.True(!counted || key == c.want || key == testRoute.Name)
		})
	}
}

// tableOf has always the same table.
type tableOf struct{ table *route.Table }

func (t tableOf) Current() (*route.Table, int64) { return t.table, int64(t.table.Version) }

// Guards against a record that does not say which route has accepted the job, so that another instance takes the job for one of a route that
// was added below it.
func TestTakeoverBesideRouteBelow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		first, stopFirst := f.start("first")
		is.NoErr(first.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1/2", SubmittedAt: time.Now()}, newItems("job", 1)))
		stopFirst()
		f.routes = []route.Route{{Name: "online", Host: "h", Prefix: "/b/1/", Kind: route.KindStream}}
		l := logs.New(f.objects)
		record, _, err := l.Job(t.Context(), "job")
		is.NoErr(err)
		is.Equal(record.Route, testRoute.Name)
		next, stopNext := f.start("next")
		defer stopNext()
		next.ObserveOrphan("job")
		time.Sleep(testLimit)
		is.True(check(t, l, "job", 1))
	})
}
