package call_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/platform"
)

// resetConn ends a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// closeConnWrite closes the sending side of a connection.
func closeConnWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

const (
	_partHead = "X-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
	_part     = "a part"
)

// _partResponses are responses of which _part is sent, by their framing.
var _partResponses = []struct {
	name, text string
	// isCloseDelimited is set if the end of the connection is that of the response.
	isCloseDelimited bool
}{
	{"no length", "HTTP/1.1 200 OK\r\n" + _partHead + "\r\n" + _part, true},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + _partHead + "\r\n" + _part, true},
	{"length", "HTTP/1.1 200 OK\r\n" + _partHead + "Content-Length: 14\r\n\r\n" + _part, false},
	{"chunked", "HTTP/1.1 200 OK\r\n" + _partHead + "Transfer-Encoding: chunked\r\n\r\n6\r\n" + _part + "\r\n", false},
}

// _partEndings are ways in which a connection ends behind a part of a response.
var _partEndings = []struct {
	name string
	end  func(conn net.Conn)
	// isClose is set if the upstream closes its sending side first.
	isClose bool
	counted func(call.EndingCounts) uint64
}{
	{"reset", resetConn, false, func(c call.EndingCounts) uint64 { return c.FailedReading + c.FailedSending }},
	{"closed", closeConnWrite, true, func(c call.EndingCounts) uint64 { return c.Closed }},
	{"closed, then reset", func(conn net.Conn) {
		closeConnWrite(conn)
		resetConn(conn)
	}, true, func(c call.EndingCounts) uint64 { return c.Closed }},
}

// A reset of the connection is never the end of a response, whether reading the
// response or sending the request gets its error, and an orderly close always is.
func TestResetIsNoEndOfResponse(t *testing.T) {
	for _, response := range _partResponses {
		for _, ending := range _partEndings {
			for _, seenBy := range []string{"reading", "sending"} {
				if seenBy == "sending" && ending.name == "closed" {
					continue // There is no error to see.
				}
				t.Run(response.name+"/"+ending.name+"/seen by "+seenBy, func(t *testing.T) {
					t.Parallel()
					ended, end := make(chan struct{}), make(chan struct{})
					upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
						request := s.readHeaders(r)
						_, _ = io.ReadFull(request.Body, make([]byte, 1))
						writeText(conn, fmt.Sprintf(response.text, request.Header.Get("X-Attempt-Id")))
						<-end
						ending.end(conn)
						close(ended)
						s.blockUntilTestEnds()
					})
					c := call.NewUpstreamClient(1, platform.Headers{})
					defer c.CloseIdleConnections()
					body, sent := io.Pipe()
					defer func() { _ = body.Close() }()
					ctx, cancel := context.WithTimeout(context.Background(), _longTimeout)
					defer cancel()
					request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+upstream.address.String()+"/", body)
					assert.NilError(t, err)
					request.ContentLength = -1
					request.Header.Set("X-Attempt-Id", "a1")
					go func() { _, _ = sent.Write([]byte("x")) }()
					got, err := c.RoundTrip(request)
					assert.NilError(t, err)
					defer func() { _ = got.Body.Close() }()
					close(end)
					<-ended
					if seenBy == "sending" {
						for err == nil {
							_, err = sent.Write(make([]byte, 8<<10))
						}
					}
					began := time.Now()
					text, err := io.ReadAll(got.Body)
					assert.Equal(t, string(text), _part)
					assert.Equal(t, err == nil, response.isCloseDelimited && ending.isClose, "%v", err)
					assert.Assert(t, time.Since(began) < _longTimeout/4, "waited for the rest of the request")
					if response.isCloseDelimited {
						_, again := got.Body.Read(make([]byte, 1))
						assert.Equal(t, errors.Is(again, io.EOF), err == nil, "%v", again)
						assert.Equal(t, ending.counted(c.EndingCounts()), uint64(1), "%+v", c.EndingCounts())
					}
				})
			}
		}
	}
}

// A caller whose request is still being sent when its response is reset never gets
// the part that had come as a whole response. The upstream resets the connection
// behind the beginning of the request's body, so that sending the rest gets the
// error.
func TestResetWhileRequestIsSentIsNoSuccess(t *testing.T) {
	const long, slow = 2 << 20, 8 << 10
	for _, test := range []struct {
		name string
		// requestBytes is the length of the request's body, of which half is sent
		// after the reset, and responseBytes how much of the response is.
		requestBytes, responseBytes int
	}{
		{"short request, short response", slow, len(_part)},
		{"short request, long response", slow, 900 << 10},
		{"long request, long response", long, 900 << 10},
	} {
		for _, chunked := range []bool{false, true} {
			for _, local := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/chunked %t/local %t", test.name, chunked, local), func(t *testing.T) {
					t.Parallel()
					reset := make(chan struct{})
					upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
						request := s.readHeaders(r)
						if request == nil {
							return
						}
						writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n"+_partHead+"\r\n", request.Header.Get("X-Attempt-Id")))
						go func() { _, _ = conn.Write(make([]byte, test.responseBytes)) }()
						_, _ = io.CopyN(io.Discard, request.Body, int64(test.requestBytes/4))
						time.Sleep(50 * time.Millisecond)
						resetConn(conn)
						close(reset)
					})
					cluster := newHostedCluster(t, _longTimeout, upstream.address)
					if local {
						cluster.useLocalOwner(t)
					}
					got := sendHalfBeforeReset(t, cluster, test.requestBytes, chunked, reset)
					isWhole := !got.broken && got.status < http.StatusMultipleChoices
					assert.Assert(t, !isWhole, "status %d, %d bytes", got.status, len(got.body))
					assert.Equal(t, upstream.calls.Load(), int64(1))
					for end := time.Now().Add(5 * time.Second); cluster.owners[0].gate.Load().Running > 0; time.Sleep(time.Millisecond) {
						assert.Assert(t, time.Now().Before(end), "the slot is still held")
					}
				})
			}
		}
	}
}

// sendHalfBeforeReset sends a call, the second half of whose body follows after a
// reset, and reads nothing of the response until then.
func sendHalfBeforeReset(t *testing.T, cluster *testCluster, requestBytes int, chunked bool, reset <-chan struct{}) callResult {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(_longTimeout)))
	tcp, ok := conn.(*net.TCPConn)
	assert.Assert(t, ok)
	assert.NilError(t, tcp.SetReadBuffer(16<<10))
	half := strings.Repeat("x", requestBytes/2)
	framing := fmt.Sprintf("Content-Length: %d", requestBytes)
	if chunked {
		half = fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
		framing = "Transfer-Encoding: chunked"
	}
	go func() {
		writeText(conn, "POST /commands HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"+framing+"\r\n\r\n"+half)
		<-reset
		time.Sleep(20 * time.Millisecond)
		writeText(conn, half)
		if chunked {
			writeText(conn, "0\r\n\r\n")
		}
	}()
	<-reset
	time.Sleep(200 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callResult{broken: true}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, body: string(body), broken: err != nil}
}
