package call_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
)

// writeEndlessly writes begin and then repeats text until the connection is
// closed, and adds the bytes written to count.
func writeEndlessly(conn net.Conn, begin, text string, count *atomic.Int64) {
	writeText(conn, begin)
	block := strings.Repeat(text, 1+4096/len(text))
	for {
		n, err := io.WriteString(conn, block)
		count.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// An upstream that sends bytes without end where the headers of a response are
// due is cut off long before the call's deadline. That counts as a failure.
func TestEndlessHeaders(t *testing.T) {
	// The kernel's socket buffers hold several megabytes more than what is read.
	const maxBytes = 32 << 20
	for _, test := range []struct{ name, begin, text string }{
		{"no response at all", "", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"one header", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"many headers", "HTTP/1.1 200 OK\r\n", "X-Many: x\r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
				s.readAll(r)
				writeEndlessly(conn, test.begin, test.text, &written)
			})
			cluster := newTestCluster(t, _longTimeout, upstream.address)
			began := time.Now()
			got := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands", nil))
			assert.Equal(t, got.outcome, call.Unknown.String())
			assert.Equal(t, got.reason, string(call.ReasonConnectionBroken))
			assert.Assert(t, time.Since(began) < _longTimeout/4, "took %s", time.Since(began))
			assert.Assert(t, written.Load() < maxBytes, "%d bytes were taken", written.Load())
			assert.Equal(t, cluster.owners[0].observed.failures.Load(), int64(1))
			assert.Equal(t, cluster.owners[0].gate.Load().Running, 0)
		})
	}
}

// A response body without end holds the upstream's slot no longer than until
// the deadline, whether or not the caller reads, and does not look complete.
func TestEndlessBody(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name  string
		reads bool
	}{{"caller reads", true}, {"caller does not read", false}} {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
				s.readAll(r)
				writeEndlessly(conn, begin, "5\r\nhello\r\n", &written)
			})
			cluster := newTestCluster(t, _shortTimeout, upstream.address)
			cluster.useLocalOwner(t)
			conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			writeText(conn, "POST /commands HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			if test.reads {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				if response.StatusCode == http.StatusGatewayTimeout {
					// The deadline passed while the node still held the response back.
					assert.NilError(t, err)
					assert.Equal(t, response.Header.Get(call.HeaderOutcome), call.Unknown.String())
				} else {
					assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				}
			} else {
				for written.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			const grace = 1500 * time.Millisecond
			for end := time.Now().Add(_shortTimeout + grace); cluster.owners[0].gate.Load().Running > 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "the slot is still held")
			}
		})
	}
}
