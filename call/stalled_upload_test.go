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

	"lentilferry.example/lentilferry/membership"
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

// Guards against calls with stalled bodies that are answered only a second after
// their deadline, because that passed earlier at the owner than at the ingress.
func TestStalledUploadIsAnsweredWhenOwnerAnswersAtDeadline(t *testing.T) {
	const timeout = time.Second
	owner := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		s.readHeaders(r)
		writeText(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		// The ingress has begun to read the body when the response arrives.
		time.Sleep(timeout / 4)
		writeText(conn, "HTTP/1.1 504 Gateway Timeout\r\nLentilferry-Outcome: unknown\r\nLentilferry-Reason: deadline\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	})
	cluster := newTestCluster(t, timeout)
	cluster.pool.Update([]membership.Member{ownerMember(owner.address)})
	conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	began := time.Now()
	_, err = io.WriteString(conn, "POST /commands HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < timeout, "answered after %s", time.Since(began))
}
