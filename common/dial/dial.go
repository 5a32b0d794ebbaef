// Package dial makes connections whose silence the kernel finds within
// seconds, whether they are idle or wait for an answer.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// _keepAliveIdle is how long a connection may be silent before the kernel
	// probes it; _probeEvery and _probes are how often it does.
	_keepAliveIdle     = time.Second
	_keepAliveInterval = time.Second
	_keepAliveProbes   = 2
	// _tcpUserTimeout is how long sent data may stay unacknowledged.
	_tcpUserTimeout = 3 * time.Second
)

// New returns a dialer whose connections take at most the given time to make.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     _keepAliveIdle,
			Interval: _keepAliveInterval,
			Count:    _keepAliveProbes,
		},
		Control: setTCPUserTimeout,
	}
}

// setTCPUserTimeout makes the kernel close a connection on which sent data is not
// acknowledged for too long.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(_tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
