// Package slope fits lines to measured points and holds the generated types of a capacity report.
package slope
