// Package fleet runs stand-in engines and the dispatchers of several entry instances in one process.
package fleet
