// Package faultylistener imitates a kernel that is short of memory for connections.
package faultylistener
