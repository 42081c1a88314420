// Package experiment measures the performance targets of the design on stand-in engines, as ratios within one run.
package experiment
