// Package outlier detects servers of one service that fail much more often than the others (outlier detection), from the outcomes of this
// instance's attempts and from what other instances report.
package outlier
