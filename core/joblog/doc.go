// Package joblog keeps jobs in the platform's store: their items, the record that accepts them, and their results as a
// sequence of segments.
//
// A segment's name holds the position of its first result, and segments are only created, never changed. Whoever creates a
// segment has read all earlier ones, so the store's refusal to create an object twice is the only agreement that positions
// need: a writer that was paused or replaced loses at the create and reads what was written instead.
package joblog
