package peer

import (
	"context"
	"net"
	"syscall"
	"time"
)

// userTimeoutMillis is how long sent data may stay unacknowledged before the connection is aborted.
const userTimeoutMillis = 3000

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux; package syscall lacks it on amd64.
const tcpUserTimeout = 0x12

// SetUserTimeout sets TCP_USER_TIMEOUT, so that connections to an unresponsive host fail.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMillis)
	})
}

// DialKeepAlive opens a connection with keep-alive probes, which detect an unresponsive peer even while
// nothing is sent. It is meant for calls that wait long for their responses.
func DialKeepAlive(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: keepAliveDialTimeout, Control: SetUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
	}
	return dialer.DialContext(ctx, network, address)
}

const (
	keepAliveDialTimeout = time.Second
	keepAliveInterval    = time.Second
)
