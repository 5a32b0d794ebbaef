package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/upstream"
)

// startEndlessUpstream starts an upstream whose responses have no end. It returns
// its address and the number of bytes that its connections have taken.
func startEndlessUpstream(t *testing.T) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	taken := new(atomic.Int64)
	var serving sync.WaitGroup
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if tcp, ok := conn.(*net.TCPConn); ok {
			assert.Check(t, tcp.SetWriteBuffer(32<<10))
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("X-Attempt-Id"))
		chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
		for {
			n, err := io.WriteString(conn, chunk)
			taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return netip.MustParseAddrPort(listener.Addr().String()), taken
}

// Guards against responses without end that the kernel keeps, megabytes for each
// caller that doesn't read.
func TestHostedEndlessResponseIsNotKeptBySockets(t *testing.T) {
	// perCall is what the heap and the sockets of both nodes, the upstream and the
	// caller may keep of one call: a dozen buffers of 16 to 256 KB.
	const calls, perCall = 6, 2 << 20
	for _, local := range []bool{false, true} {
		t.Run(fmt.Sprintf("local=%t", local), func(t *testing.T) {
			c := newHostedCluster(t, "v1")
			address, taken := startEndlessUpstream(t)
			endless := c.startNode(&hostedNode{runs: make(map[string]int)}, "n1", "z", "v1", address)
			c.callUntil("both serve", c.serving(2))
			assert.Equal(t, c.nodes[0].announce(true), upstream.Accepted)
			c.callUntil("one serves", c.serving(1))
			time.Sleep(3 * time.Second) // The calls so far end at their deadlines.
			before := taken.Load()
			entry := c.nodes[0]
			if local {
				entry = endless
			}
			for i := range calls {
				conn, err := net.Dial("tcp", strings.TrimPrefix(entry.calls, "http://"))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "POST /batches/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: e%d\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", i)
				assert.NilError(t, err)
			}
			time.Sleep(time.Second)
			kept := taken.Load() - before
			assert.Assert(t, kept > 0 && kept < calls*perCall, "%d bytes are kept of %d calls", kept, calls)
		})
	}
}
