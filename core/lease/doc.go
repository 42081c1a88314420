// Package lease holds a named lease in the object store, with a fencing token that grows with each change of the holder.
//
// The clocks of two instances are never compared. The holder measures the term on its monotonic clock from before it sent the
// write. An observer measures it from after it first read the record's version, so it sees the term end later. A holder that was
// paused finds that its term is over when it calls Held. The fencing token covers a message that the holder sends after a
// pause between that call and the send.
package lease
