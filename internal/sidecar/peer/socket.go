package peer

import (
	"context"
	"net"
	"syscall"
	"time"
)

// silenceLimit is how long sent bytes may stay unacknowledged before the
// connection counts as dead, in milliseconds.
const silenceLimit = 3000

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// BoundSilence has a connection to a machine that says nothing fail by itself.
func BoundSilence(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, silenceLimit)
	})
}

// DialAlive opens a connection on which the silence of the other side is noticed
// also while nothing is sent: for calls that wait long for their answers.
func DialAlive(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: aliveDialTimeout, Control: BoundSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: aliveProbe, Interval: aliveProbe, Count: 2},
	}
	return dialer.DialContext(ctx, network, address)
}

const (
	aliveDialTimeout = time.Second
	aliveProbe       = time.Second
)
