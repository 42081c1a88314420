// Package relay delays the connections between two places on loopback.
package relay
