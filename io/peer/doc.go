// Package peer carries control messages between entry instances over net/rpc.
//
// The JSON codec of net/rpc is used, so that every message is checked by its schema when it is decoded. net/rpc has
// no deadlines: the sender enforces the deadline of each call and closes the connection when it passes, since it cannot
// distinguish a late reply from a dead connection. Token streams do not use this package.
package peer
