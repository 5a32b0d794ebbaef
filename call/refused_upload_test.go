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

// A refusal doesn't wait for a body that never comes.
func TestRefusalOfStalledUploadIsSent(t *testing.T) {
	for _, headers := range []string{"Content-Length: 9", "Content-Length: 900000", "Transfer-Encoding: chunked"} {
		t.Run(headers, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t, _longTimeout, closedPort(t))
			cluster.ingress.StopAccepting()
			conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(conn, "POST /commands HTTP/1.1\r\nHost: h\r\n"+headers+"\r\n\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		})
	}
}
