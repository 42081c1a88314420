// Package pausinglistener imitates a process that gets no processor time at certain moments of a connection.
package pausinglistener
