// Package tables measures the memory of an entry instance's tables.
package tables
