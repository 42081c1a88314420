package tcp

import "net"

// closedState is the state of a connection that was reset, TCP_CLOSE in the kernel.
const closedState = 7

// Acknowledged reports whether the system of a connection's peer has acknowledged all that was sent and has not reset the connection. It is
// false for a connection that hides its socket.
func Acknowledged(c net.Conn) bool {
	info, known := infoOf(c)

	return known && info.State != closedState && info.Unacked == 0 && info.Notsent_bytes == 0
}
