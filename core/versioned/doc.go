// Package versioned holds the newest revision of a value.
package versioned
