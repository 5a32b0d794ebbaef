package socket_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/common/socket"
)

// reset ends a connection with a reset.
func reset(t *testing.T, conn net.Conn) {
	t.Helper()
	tcp, ok := conn.(*net.TCPConn)
	assert.Assert(t, ok)
	assert.NilError(t, tcp.SetLinger(0))
	assert.NilError(t, conn.Close())
}

// closeWrite closes the sending side of a connection.
func closeWrite(t *testing.T, conn net.Conn) {
	t.Helper()
	tcp, ok := conn.(*net.TCPConn)
	assert.Assert(t, ok)
	assert.NilError(t, tcp.CloseWrite())
}

// awaitWriteError writes until that fails, and returns the error.
func awaitWriteError(t *testing.T, conn net.Conn) error {
	t.Helper()
	for range 1000 {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("writing did not fail")
	return nil
}

// A reset whose error was returned to a write looks like an orderly end to reads
// and must not be taken for one.
func TestFindEnding(t *testing.T) {
	const sent = "sent before the end"
	for _, test := range []struct {
		name string
		end  func(t *testing.T, far net.Conn)
		// writes is set if the error of the connection is returned to a write.
		writes     bool
		writeError error
		readError  error
		want       socket.Ending
	}{
		{name: "closed", end: func(t *testing.T, far net.Conn) { assert.NilError(t, far.Close()) }, want: socket.Closed},
		{name: "closed for writing", end: closeWrite, want: socket.Closed},
		{name: "reset", end: reset, readError: syscall.ECONNRESET, want: socket.Failed},
		{name: "reset, seen by a write", end: reset, writes: true, writeError: syscall.ECONNRESET, want: socket.Failed},
		{name: "closed, then reset", end: func(t *testing.T, far net.Conn) {
			closeWrite(t, far)
			reset(t, far)
		}, want: socket.Closed},
		{name: "closed, then reset, seen by a write", end: func(t *testing.T, far net.Conn) {
			closeWrite(t, far)
			reset(t, far)
		}, writes: true, writeError: syscall.EPIPE, want: socket.Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			near, far := connect(t)
			ending, err := socket.FindEnding(near)
			assert.NilError(t, err)
			assert.Equal(t, ending, socket.NotEnded)
			_, err = io.WriteString(far, sent)
			assert.NilError(t, err)
			awaitState(t, near, socket.Unread)
			test.end(t, far)
			if test.writes {
				err := awaitWriteError(t, near)
				assert.ErrorIs(t, err, test.writeError)
				assert.Equal(t, socket.IsAfterClose(err), errors.Is(test.writeError, syscall.EPIPE))
			}
			got, err := io.ReadAll(near)
			assert.Equal(t, string(got), sent)
			if test.readError != nil {
				assert.ErrorIs(t, err, test.readError)
			} else {
				assert.NilError(t, err)
			}
			ending, err = socket.FindEnding(near)
			assert.NilError(t, err)
			assert.Equal(t, ending, test.want)
		})
	}
}

// A connection that is closed on this side, or is no socket, has no ending.
func TestFindEndingOfClosedConnection(t *testing.T) {
	near, _ := connect(t)
	assert.NilError(t, near.Close())
	_, err := socket.FindEnding(near)
	assert.ErrorIs(t, err, net.ErrClosed)
	pipe, other := net.Pipe()
	defer func() { _, _ = pipe.Close(), other.Close() }()
	_, err = socket.FindEnding(pipe)
	assert.ErrorContains(t, err, "no socket")
}
