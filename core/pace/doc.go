// Package pace measures backend servers from this instance's own streams, because their load reports lag.
package pace
