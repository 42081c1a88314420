// Package work defines jobs of opaque requests: their items, the record that accepts them and their results.
package work
