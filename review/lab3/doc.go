//go:build review3

// Lab3 plays the script cases of review 3: it starts entry instances as separate processes beside stand-ins of the platform's store and of
// workers, and judges what clients and workers see.
package main
