// Package cluster keeps what an entry instance knows of the others from their regular messages.
package cluster
