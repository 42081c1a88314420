// Package capacity runs the measurements behind docs/CAPACITY.md, which extrapolates their slopes to the full size.
package capacity
