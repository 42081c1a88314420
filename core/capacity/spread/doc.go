// Package spread simulates how a change reaches all instances when each asks a few random others a second.
package spread
