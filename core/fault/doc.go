// Package fault defines the error type that every failure of the system is reported as.
package fault
