// Package link simulates the limited bandwidth between two regions in one direction.
package link
