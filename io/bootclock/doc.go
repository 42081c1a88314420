// Package bootclock reads the time since the start of the machine, which counts while the process is frozen or the machine suspended.
package bootclock
