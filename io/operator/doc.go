// Package operator serves the administration API: configuration, status and metrics.
package operator
