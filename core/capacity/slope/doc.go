// Package slope fits lines to measured points and defines the types of a capacity report.
package slope
