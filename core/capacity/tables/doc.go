// Package tables measures the memory of the in-memory tables of an entry instance.
package tables
