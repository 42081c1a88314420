package jobrun

import (
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

// routeOf returns the batch route of a job, nil if it has ended or is not known yet; it needs the lock.
func (r *Runner) routeOf(j *job) *route.Route {
	table, _ := r.routes.Current()
	if table == nil {
		return nil
	}
	if j.table != table {
		j.table, j.route = table, r.findRoute(&j.Job)
	}

	return j.route
}

// findRoute returns the batch route of an accepted job, nil if it has ended or is not known yet. The name tells it first, so that routes
// that are added below its prefix do not take the job; then the prefix, if it was renamed; then the path, if others have replaced it. A
// configuration that is older than the one with which the job was accepted may have another route there.
func (r *Runner) findRoute(j *work.Job) *route.Route {
	table, _ := r.routes.Current()
	if table == nil {
		return nil
	}
	candidates := []*route.Route{table.Named(j.Route)}
	if j.Route == "" || !olderThanJob(table, j) {
		candidates = append(candidates, table.At(j.Host, j.Prefix), table.Find(j.Host, j.Target))
	}
	for _, rt := range candidates {
		if rt != nil && rt.Kind == route.KindBatch {
			return rt
		}
	}

	return nil
}

// olderThanJob reports whether a configuration is older than the one with which a job was accepted.
func olderThanJob(table *route.Table, j *work.Job) bool { return table.Version < j.RouteVersion }

// tokensKey returns what the waiting tokens of a job count for, given its route, or nil; false if the route has ended.
func (r *Runner) tokensKey(j *work.Job, rt *route.Route) (string, bool) {
	if rt != nil {
		return waitingKeyOf(rt.Name, j.Workspace), true
	}
	table, _ := r.routes.Current()

	return waitingKeyOf(j.Route, j.Workspace), j.Route != "" && (table == nil || olderThanJob(table, j))
}
