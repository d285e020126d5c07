package targetlink

import (
	"net"
	"syscall"
)

// IdleCheck returns a function that reports whether conn is open and has no unread data. A connection
// that the other side has closed or sent unsolicited bytes on must not be reused. It returns nil if
// conn is no socket. The function must not be called concurrently.
func IdleCheck(conn net.Conn) func() bool {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return func() bool { return false }
	}
	var open bool
	var b [1]byte
	peek := func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	}
	return func() bool {
		open = false
		return raw.Read(peek) == nil && open
	}
}
