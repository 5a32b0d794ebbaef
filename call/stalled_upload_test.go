package call_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A call whose body stalls is answered at its deadline.
func TestStalledUploadIsAnsweredAtDeadline(t *testing.T) {
	const deadline = 500 * time.Millisecond
	for _, local := range []bool{false, true} {
		for _, headers := range []string{"Content-Length: 9", "Content-Length: 90000", "Content-Length: 900000", "Transfer-Encoding: chunked"} {
			t.Run(headers, func(t *testing.T) {
				cluster := newTestCluster(t, deadline, serveUpstream(t, echoHandler()))
				if local {
					cluster.useLocalOwner(t)
				}
				conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				began := time.Now()
				_, err = io.WriteString(conn, "POST /commands HTTP/1.1\r\nHost: h\r\n"+headers+"\r\n\r\n")
				assert.NilError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				defer func() { _ = response.Body.Close() }()
				assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
				assert.Assert(t, time.Since(began) < deadline+300*time.Millisecond, "answered after %s", time.Since(began))
			})
		}
	}
}
