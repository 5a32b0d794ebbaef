// Package socket tells what a connection's receive buffer holds without reading
// from it and how the peer has ended it, and bounds what its send buffer holds.
package socket

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// State is the state of a connection's receive buffer.
type State int

// The states of a receive buffer.
const (
	// Empty means that the connection is open and everything received was read.
	Empty State = iota + 1
	// Unread means that bytes were received that nobody has read yet.
	Unread
	// Ended means that the peer has closed or reset the connection.
	Ended
)

// Peek returns the state of a connection's receive buffer. It doesn't wait for
// a pending read. The error says that the connection is closed or is no socket.
func Peek(conn net.Conn) (State, error) {
	raw, err := rawConn(conn)
	if err != nil {
		return 0, err
	}
	state := Ended
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(recvErr, unix.EAGAIN):
			state = Empty
		case recvErr == nil && n > 0:
			state = Unread
		}
	})
	return state, errors.Wrap(err, "peek at socket")
}

// HasPeerClosed reports whether the peer has closed or reset the connection, also
// while received bytes are unread.
func HasPeerClosed(conn net.Conn) bool {
	raw, err := rawConn(conn)
	if err != nil {
		return false
	}
	hasClosed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		hasClosed = pollErr == nil && n > 0
	})
	return err == nil && hasClosed
}

// LimitUnsent bounds the bytes that the kernel holds of a connection whose peer
// doesn't read. One that reads is not slowed down. The error says that the
// connection is closed, is no socket or can't be bounded.
func LimitUnsent(conn net.Conn, bytes int) error {
	raw, err := rawConn(conn)
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
	return errors.Wrap(errors.CombineErrors(err, sockoptErr), "bound unsent bytes")
}

// ResetOnClose makes closing the connection reset it, which discards what was not
// sent yet. The error says that the connection is closed or is no socket.
func ResetOnClose(conn net.Conn) error {
	raw, err := rawConn(conn)
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	return errors.Wrap(errors.CombineErrors(err, sockoptErr), "reset on close")
}

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is no socket", conn)
	}
	raw, err := socket.SyscallConn()
	return raw, errors.Wrap(err, "get socket")
}
