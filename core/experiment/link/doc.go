// Package link models the rate of one direction of the connection between two regions.
package link
