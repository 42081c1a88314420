// Package tcp opens TCP connections that detect an unreachable peer within about two seconds.
package tcp
