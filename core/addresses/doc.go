// Package addresses lets the instances of a fleet find each other through the store, where each has an object with its address, and lets
// one that hears from no other instance ask there whether any is alive.
package addresses
