// Package certificate serves TLS with a certificate that is read again when its files change.
package certificate
