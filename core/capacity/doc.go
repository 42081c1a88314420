// Package capacity runs the measurements from whose slopes docs/CAPACITY.md computes the full size.
package capacity
