// Package certificate serves TLS with a certificate that is reloaded when its files change.
package certificate
