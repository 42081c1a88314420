// Package apiclient calls the callers' and operators' HTTP APIs of an entry instance for the command line.
package apiclient
