// Package socket tells what a connection's receive buffer holds without reading
// from it.
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
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.Newf("%T is no socket", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "get socket")
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
