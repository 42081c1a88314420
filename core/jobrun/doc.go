// Package jobrun runs the items of the jobs that this instance holds and lists their results: an item is listed once its result
// is part of a segment in the store. Jobs whose holder is gone are taken over.
package jobrun
