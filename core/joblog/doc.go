// Package joblog stores jobs in the platform's store: their items, the record that accepts them, and their results as a
// sequence of segments.
//
// The name of a segment contains the position of its first result, and a segment never changes. A writer reads all earlier
// segments before it creates one, and the store creates an object only once, so that writers need no further coordination: if a
// writer was paused or replaced, its create fails and it reads the results that were written instead.
package joblog
