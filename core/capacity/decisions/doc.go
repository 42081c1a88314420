// Package decisions measures the processor time of routing, choosing batch owners and job selection.
package decisions
