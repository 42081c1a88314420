// Package http1 checks that what a server sends on a connection is answers by the grammar of HTTP/1 (RFC 9110 and 9112). Libraries accept
// more than that, and read the framing of such answers in different ways.
package http1
