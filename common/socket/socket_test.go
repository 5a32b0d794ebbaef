package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/common/socket"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	far, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// awaitState waits until the receive buffer has a state.
func awaitState(t *testing.T, conn net.Conn, want socket.State) {
	t.Helper()
	for range 1000 {
		got, err := socket.Peek(conn)
		assert.NilError(t, err)
		if got == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the receive buffer did not get into state %d", want)
}

func TestPeek(t *testing.T) {
	near, far := connect(t)
	awaitState(t, near, socket.Empty)
	_, err := io.WriteString(far, "x")
	assert.NilError(t, err)
	awaitState(t, near, socket.Unread)
	_, err = near.Read(make([]byte, 1))
	assert.NilError(t, err)
	awaitState(t, near, socket.Empty)
	assert.NilError(t, far.Close())
	awaitState(t, near, socket.Ended)
	assert.NilError(t, near.Close())
	_, err = socket.Peek(near)
	assert.ErrorIs(t, err, net.ErrClosed)
	pipe, other := net.Pipe()
	defer func() { _, _ = pipe.Close(), other.Close() }()
	_, err = socket.Peek(pipe)
	assert.ErrorContains(t, err, "no socket")
}

// A peer that has closed is noticed behind unread bytes.
func TestHasPeerClosed(t *testing.T) {
	near, far := connect(t)
	_, err := io.WriteString(far, "x")
	assert.NilError(t, err)
	awaitState(t, near, socket.Unread)
	assert.Check(t, !socket.HasPeerClosed(near))
	assert.NilError(t, far.Close())
	for range 1000 {
		if socket.HasPeerClosed(near) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the end was not noticed")
}

// A read that waits for data doesn't delay Peek.
func TestPeekBesidePendingRead(t *testing.T) {
	near, far := connect(t)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond)
	state, err := socket.Peek(near)
	assert.NilError(t, err)
	assert.Equal(t, state, socket.Empty)
	_, err = io.WriteString(far, "x")
	assert.NilError(t, err)
	assert.NilError(t, <-read)
}
