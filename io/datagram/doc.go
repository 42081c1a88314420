// Package datagram sends heartbeats between entry instances as UDP datagrams. They need no connections, and a lost one does no
// harm, since each heartbeat holds the sender's whole state.
package datagram
