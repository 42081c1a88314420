// Package demo runs the complete system on loopback with the embedded examples and checks the result of every step.
package demo
