// Package pulse wakes the periodic tasks of a process together. An idle process then wakes up once for all of them, and not once for
// each.
package pulse
