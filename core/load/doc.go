// Package load counts the requests in flight on backend servers: the instance's own and those that its peers report.
package load
