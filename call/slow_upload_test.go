package call_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// _slowUpload begins a request whose body arrives in chunks.
const _slowUpload = "POST /commands HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"

// newEarlyUpstream starts an upstream that answers calls before it has read
// their bodies, and counts other calls than those to /commands.
func newEarlyUpstream(t *testing.T) (upstream *scriptedUpstream, others *atomic.Int64) {
	t.Helper()
	others = new(atomic.Int64)
	upstream = newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		for {
			request := s.readHeaders(r)
			if request == nil {
				return
			}
			if request.URL.Path != "/commands" {
				others.Add(1)
			}
			writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer")
			_, _ = io.Copy(io.Discard, request.Body)
		}
	})
	return upstream, others
}

// What is left of a slow body after an early answer is not taken for requests.
func TestRestOfSlowBodyIsNoRequest(t *testing.T) {
	for _, local := range []bool{false, true} {
		t.Run(fmt.Sprintf("local=%t", local), func(t *testing.T) {
			upstream, others := newEarlyUpstream(t)
			cluster := newTestCluster(t, _longTimeout, upstream.address)
			if local {
				cluster.useLocalOwner(t)
			}
			conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			writeText(conn, _slowUpload)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "answer")
			// The node waits a second for the rest of the body.
			time.Sleep(1300 * time.Millisecond)
			writeText(conn, strings.Repeat("POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na", 20))
			response, err = http.ReadResponse(reader, nil)
			if err == nil {
				_ = response.Body.Close()
			}
			assert.Assert(t, err != nil, "the rest of the body was answered")
			assert.Equal(t, others.Load(), int64(0))
		})
	}
}

// Connections whose chunked body arrived before the answer are kept, between
// nodes too.
func TestConnectionsAreKeptAfterWholeChunkedBody(t *testing.T) {
	cluster := newTestCluster(t, _longTimeout, serveUpstream(t, echoHandler()))
	conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(conn)
	for range 5 {
		writeText(conn, _slowUpload+"0\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "x")
		assert.Assert(t, !response.Close)
	}
	assert.Equal(t, cluster.owners[0].accepted.Load(), int64(1))
}
