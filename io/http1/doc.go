// Package http1 is a connection to an HTTP/1 server on which answers are read whole or not at all: a body without a length ends with the
// connection, so that its end has to be told from a reset.
package http1
