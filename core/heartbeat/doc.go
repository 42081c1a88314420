// Package heartbeat sends the heartbeats of an entry instance and handles those of the others.
package heartbeat
