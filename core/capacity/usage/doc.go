// Package usage reads the processor time, allocations and memory of this process.
package usage
