// Package message holds what entry instances of tarragonwalk serve say to each other; io/peer carries it.
package message
