package targetlink

import (
	"net"
	"syscall"
)

// isIdle reports whether conn is open and has no unread data. A connection that the target
// has closed or sent unsolicited bytes on must not be reused. Connections that are not
// sockets are assumed to be idle.
func isIdle(conn net.Conn) bool {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(descriptor uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
