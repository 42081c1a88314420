// Package operator serves the administration API: configuration, status, burn counts and metrics.
package operator
