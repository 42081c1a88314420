// Package faultserver is an HTTP server with injected connection faults, for stand-ins.
package faultserver
