// Package batchroom describes where a batch item could be placed.
package batchroom
