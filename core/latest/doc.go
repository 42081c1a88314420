// Package latest holds the newest revision of a value.
package latest
