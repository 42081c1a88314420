// Package quota limits the request rate of workspaces over all instances, from each instance's own counts and those that others report.
package quota
