// Package lease holds a named lease in the object store, with a fencing token that grows with each change of the holder.
//
// No clocks of two instances are compared. The holder counts the term on its monotonic clock from before it sent the
// write. An observer counts it from after it first saw the record's version, so its count ends later. A holder that was
// paused finds its term over when it checks Held; a message that it sent between the check and the pause is what the
// fencing token is for.
package lease
