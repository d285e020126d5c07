package targetlink

import (
	"net"
	"syscall"
)

// silent tells whether an idle connection is open and has nothing to read. A
// target that closed it, or sent bytes that belong to no request, makes it
// unusable. Connections that are no sockets count as silent.
func silent(conn net.Conn) bool {
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
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
