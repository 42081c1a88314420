// Package latest keeps the newest version of a value.
package latest
