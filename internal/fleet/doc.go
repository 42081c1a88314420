// Package fleet starts stand-ins and entry instances in one process on loopback, for the demo and for failure tests.
package fleet
