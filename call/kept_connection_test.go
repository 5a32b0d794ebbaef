package call_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
)

// Guards against kept connections whose next calls are refused after a response
// took longer to send than its call's deadline.
func TestKeptConnectionServesAfterSlowResponse(t *testing.T) {
	const answerBytes = 200_000
	for _, headers := range []string{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"} {
		t.Run(headers[:8], func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t, _shortTimeout, serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
			})))
			server := httptest.NewUnstartedServer(cluster.ingress)
			server.Config.ConnContext = call.ConnContext
			server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
				if tcp, ok := conn.(*net.TCPConn); ok && state == http.StateNew {
					assert.Check(t, tcp.SetWriteBuffer(32<<10))
				}
			}
			server.Start()
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			tcp, ok := conn.(*net.TCPConn)
			assert.Assert(t, ok)
			assert.NilError(t, tcp.SetReadBuffer(32<<10))
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			reader := bufio.NewReader(conn)
			for i := range 2 {
				writeText(conn, "POST /commands HTTP/1.1\r\nHost: h\r\n"+headers)
				if i == 0 {
					// The response is stuck in full buffers.
					time.Sleep(_shortTimeout + 1500*time.Millisecond)
				}
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, fmt.Sprintf("call %d: %.80s", i, body))
				assert.Equal(t, len(body), answerBytes)
			}
		})
	}
}
