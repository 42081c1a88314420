// Package apiclient is the command line's client of an entry instance's HTTP APIs for callers and operators.
package apiclient
