// Package decisions measures the processor time of routing, feeding and job selection.
package decisions
