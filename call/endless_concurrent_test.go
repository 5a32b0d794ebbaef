package call_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/admission"
)

// heapBytes returns the bytes of reachable objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against many responses without end, to callers that don't read them, that
// take the node's memory.
func TestEndlessResponsesShareBudget(t *testing.T) {
	const (
		calls = 40
		// perCall covers the goroutines, connections and copy buffers of ingress, owner,
		// upstream and caller.
		perCall = 160 << 10
	)
	for _, begin := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n",
	} {
		t.Run(strings.Fields(begin)[3], func(t *testing.T) {
			var written atomic.Int64
			text := "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"
			upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
				s.readAll(r)
				writeEndlessly(conn, begin, text, &written)
			})
			cluster := newTestCluster(t, _longTimeout, upstream.address)
			owner := cluster.owners[0]
			owner.gate.SetLimits(admission.ExactLimits(calls))
			before := heapBytes()
			conns := make([]net.Conn, 0, calls)
			for range calls {
				conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				writeText(conn, "POST /commands HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
				conns = append(conns, conn)
			}
			awaitCount(t, "all calls run", upstream.calls.Load, calls)
			for last := int64(-1); written.Load() != last; time.Sleep(200 * time.Millisecond) {
				last = written.Load()
			}
			grown := heapBytes() - before
			assert.Assert(t, grown < 2*_testBufferBytes+calls*perCall, "the heap has grown by %d bytes", grown)
			assert.Assert(t, owner.buffers.Held() <= _testBufferBytes)
			for _, conn := range conns {
				assert.NilError(t, conn.Close())
			}
		})
	}
}

// Responses for which the budget has no room are passed on whole.
func TestResponsesWithoutRoomInBudgetAreWhole(t *testing.T) {
	const calls, size = 40, 200_000
	release := make(chan struct{})
	var began atomic.Int64
	cluster := newTestCluster(t, _longTimeout, serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/commands/length" {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size/2))
		_ = http.NewResponseController(w).Flush()
		began.Add(1)
		<-release
		_, _ = io.WriteString(w, strings.Repeat("y", size/2))
	})))
	cluster.owners[0].gate.SetLimits(admission.ExactLimits(calls))
	results := make(chan callResult, calls)
	for i := range calls {
		go func() {
			path := []string{"/commands/length", "/commands/chunked"}[i%2]
			results <- sendRequest(t, newRequest(t, http.MethodPost, cluster.url+path, strings.NewReader("x")))
		}()
	}
	awaitCount(t, "all responses have begun", began.Load, calls)
	close(release)
	for range calls {
		result := <-results
		assert.Equal(t, result.status, http.StatusOK)
		assert.Assert(t, !result.broken)
		assert.Assert(t, result.body == strings.Repeat("x", size/2)+strings.Repeat("y", size/2))
	}
}
