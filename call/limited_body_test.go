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

	"lentilferry.example/lentilferry/config"
)

// A body that reaches the limit while the answer begins races with nothing.
func TestBodyLimitReachedAsAnswerBegins(t *testing.T) {
	upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		_ = s.readHeaders(r)
		_, _ = io.CopyN(io.Discard, r, 10_000)
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nA: 1\r\nB: 2\r\n\r\nanswer")
		_, _ = io.Copy(io.Discard, r)
	})
	cluster := newTestCluster(t, _longTimeout, upstream.address)
	cluster.useLocalOwner(t)
	cluster.setLimits(config.Limits{BodyBytes: 20_000})
	for range 400 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		go func() {
			writeText(conn, _slowUpload)
			for range 40 {
				writeText(conn, "400\r\n"+strings.Repeat("y", 1024)+"\r\n")
			}
			writeText(conn, "0\r\n\r\n")
		}()
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		_ = conn.Close()
	}
}
