package socket

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Ending is how the peer of a TCP connection has ended what it sends.
type Ending int

// The endings of a connection.
const (
	// NotEnded means that the peer may send more.
	NotEnded Ending = iota + 1
	// Closed means that the peer has closed its sending side after everything
	// that it had sent was received. The connection may have failed since.
	Closed
	// Failed means that the connection was reset or has timed out, and that its
	// error was returned before. IsAfterClose tells from that error whether the
	// peer had closed its sending side before.
	Failed
)

// The states of a TCP connection that FindEnding distinguishes, as in TCP_INFO.
const (
	_tcpEstablished = 1
	_tcpFinWait1    = 4
	_tcpFinWait2    = 5
	_tcpClosed      = 7
)

// FindEnding returns how the peer has ended what it sends. The kernel returns the
// error of a failed connection only once, to whichever read or write comes first.
// A later read gets io.EOF, as after an orderly close, which FindEnding can tell
// apart. It takes an error that was not returned yet, so the connection must not
// be used any more if the result is Failed. The error says that the connection is
// closed on this side or is no TCP socket.
func FindEnding(conn net.Conn) (Ending, error) {
	raw, err := rawConn(conn)
	if err != nil {
		return 0, err
	}
	var ending Ending
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		ending, sockoptErr = findEnding(int(fd))
	})
	return ending, errors.Wrap(errors.CombineErrors(err, sockoptErr), "find ending of connection")
}

func findEnding(fd int) (Ending, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	switch info.State {
	case _tcpEstablished, _tcpFinWait1, _tcpFinWait2:
		return NotEnded, nil
	case _tcpClosed:
		pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil {
			return 0, err
		}
		if IsAfterClose(syscall.Errno(pending)) {
			return Closed, nil
		}
		return Failed, nil
	default:
		return Closed, nil
	}
}

// IsAfterClose reports whether the first error of a failed connection means that
// the peer had closed its sending side before the connection failed. For a reset
// that comes later, Linux returns EPIPE in place of ECONNRESET.
func IsAfterClose(err error) bool {
	return errors.Is(err, unix.EPIPE)
}
