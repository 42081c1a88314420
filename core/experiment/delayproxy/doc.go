// Package delayproxy simulates the network between two availability zones with a loopback TCP proxy.
package delayproxy
