// Package peer carries control messages between entry instances over net/rpc.
//
// The JSON codec of net/rpc is used, so that every message is checked by its schema when it is decoded. net/rpc has
// no deadlines: the sender keeps the deadline of each call and closes the connection when it passes, since an answer
// that comes later could not be told from a connection that has gone silent. Token streams do not use this package.
package peer
