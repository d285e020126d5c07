// Package connreset tells a connection that the other side has reset from one that it has closed.
//
// The kernel reports a reset once, to the first call on the connection. If one goroutine writes while
// another reads, the write may take the error; the read then returns the data that has arrived and
// io.EOF, as after a regular close. A message that ends with its connection would look complete.
package connreset

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Detect returns a connection whose reads return syscall.ECONNRESET in place of io.EOF if the other side
// reset conn before it closed it. Connections that are not sockets are returned unchanged; their reads must
// report resets themselves.
func Detect(conn net.Conn) net.Conn {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return conn
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return conn
	}
	return &detector{Conn: conn, raw: raw}
}

// detector is a connection with at most one reader and one writer at a time.
type detector struct {
	net.Conn
	raw syscall.RawConn

	writing  sync.Mutex // held during writes
	writeErr error      // of the first write that failed
}

// SyscallConn implements syscall.Conn.
func (d *detector) SyscallConn() (syscall.RawConn, error) { return d.raw, nil }

// Write implements io.Writer.
func (d *detector) Write(p []byte) (int, error) {
	d.writing.Lock()
	defer d.writing.Unlock()
	n, err := d.Conn.Write(p)
	if d.writeErr == nil {
		d.writeErr = err
	}
	return n, err
}

// Read implements io.Reader.
func (d *detector) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if err == io.EOF {
		err = d.end()
	}
	return n, err
}

// end returns io.EOF if the other side has closed the connection, or the reason why that is not known.
func (d *detector) end() error {
	var info *unix.TCPInfo
	var infoErr error
	if err := d.raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return err // closed here meanwhile, by a writer that got an error
	}
	if infoErr != nil || info.State != tcpClose {
		return io.EOF // another protocol, or no reset has arrived
	}
	// A write in progress has failed, and returns. Linux reports EPIPE to writes if the reset came after
	// a regular close.
	d.writing.Lock()
	defer d.writing.Unlock()
	if d.writeErr == nil || errors.Is(d.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return syscall.ECONNRESET
}

// tcpClose is the state TCP_CLOSE of Linux, which a socket that is open here has only after a reset.
const tcpClose = 7
