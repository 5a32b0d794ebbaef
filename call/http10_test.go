package call_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a broken response that looks whole to a caller of HTTP/1.0, for
// which a response without a length ends with the connection.
func TestBrokenResponseIsResetForHTTP10(t *testing.T) {
	for _, local := range []bool{false, true} {
		for _, whole := range []bool{false, true} {
			t.Run(fmt.Sprintf("local %t/whole %t", local, whole), func(t *testing.T) {
				t.Parallel()
				const chunk, chunks = 16 << 10, 40
				upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
					if s.readAll(r) == nil {
						return
					}
					writeText(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					writeText(conn, strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), chunks))
					if whole {
						writeText(conn, "0\r\n\r\n")
					}
				})
				cluster := newTestCluster(t, _longTimeout, upstream.address)
				if local {
					cluster.useLocalOwner(t)
				}
				conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(_longTimeout)))
				writeText(conn, "POST /commands HTTP/1.0\r\nHost: h\r\n\r\n")
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					assert.Assert(t, !whole, "%v", err)
					return
				}
				body, err := io.ReadAll(response.Body)
				assert.Equal(t, err == nil, whole, "%d of %d bytes, %v", len(body), chunk*chunks, err)
				if whole {
					assert.Equal(t, len(body), chunk*chunks)
				}
			})
		}
	}
}
