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
	// _probeAfter is how long a connection may be silent before the kernel
	// probes it; _probeEvery and _probes are how often it does.
	_probeAfter = time.Second
	_probeEvery = time.Second
	_probes     = 2
	// _silenceMost is how long sent data may stay unacknowledged.
	_silenceMost = 3 * time.Second
)

// New returns a dialer whose connections take at most the given time to make.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     _probeAfter,
			Interval: _probeEvery,
			Count:    _probes,
		},
		Control: limitSilence,
	}
}

// limitSilence makes the kernel close a connection on which sent data is not
// acknowledged for too long.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(_silenceMost.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
