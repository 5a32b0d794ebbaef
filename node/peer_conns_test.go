package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/common/meter"
)

// A stop doesn't end a peer's connection on which a forwarded call waits to be
// read.
func TestForwardedCallUnreadAtStopIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	peer, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }()
	server, err := meter.Listener{Listener: listener}.Accept()
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	conns := newCallerConns()
	conns.trackState(time.Unix(1_800_000_000, 0), server, http.StateIdle)
	_, err = io.WriteString(peer, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, conns.endUnused(), 1)
	_, err = server.Read(make([]byte, 1))
	assert.NilError(t, err)
}
