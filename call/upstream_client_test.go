package call_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/platform"
)

// sealedResponse returns the response of an upstream that uses
// platform.Headers: it echoes the call's ID and has the upstream's seal.
func sealedResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// sendCall sends one call to the upstream and returns the response's body.
func sendCall(ctx context.Context, t *testing.T, c *call.UpstreamClient, s *scriptedUpstream, id string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address.String()+"/", nil)
	assert.NilError(t, err)
	request.Header.Set("X-Attempt-Id", id)
	response, err := c.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Whatever an upstream writes to its connections, a call gets its own response
// or none.
func TestStrayResponses(t *testing.T) {
	for _, test := range []struct {
		name string
		// script responds to the n-th call of a connection.
		script func(conn net.Conn, n int, id string)
		// answered is how many of three calls get a response.
		answered int
	}{
		{"response sent twice", func(conn net.Conn, _ int, id string) {
			writeText(conn, sealedResponse(id, id)+sealedResponse(id, "again"))
		}, 3},
		{"late response to an earlier call", func(conn net.Conn, n int, id string) {
			if n > 1 {
				writeText(conn, sealedResponse("earlier", "late"))
			}
			writeText(conn, sealedResponse(id, id))
		}, 3},
		{"only responses to another call", func(conn net.Conn, _ int, _ string) { writeText(conn, strings.Repeat(sealedResponse("other", "x"), 9)) }, 0},
		{"bytes after the response", func(conn net.Conn, _ int, id string) { writeText(conn, sealedResponse(id, id)+"junk") }, 3},
		{"no HTTP response", func(conn net.Conn, _ int, _ string) { writeText(conn, "junk\r\n\r\n") }, 0},
		{"response without a seal", func(conn net.Conn, _ int, id string) {
			writeText(conn, strings.Replace(sealedResponse(id, id), "X-Server-Seal: s\r\n", "", 1))
		}, 0},
		{"informational response first", func(conn net.Conn, _ int, id string) {
			writeText(conn, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+sealedResponse(id, id))
		}, 3},
		{"incomplete response", func(conn net.Conn, _ int, id string) {
			writeText(conn, strings.Replace(sealedResponse(id, id), "Content-Length: 2", "Content-Length: 20", 1))
			_ = conn.Close()
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
				for n := 1; ; n++ {
					request := s.readAll(r)
					if request == nil {
						return
					}
					test.script(conn, n, request.Header.Get("X-Attempt-Id"))
				}
			})
			c := call.NewUpstreamClient(4, platform.Headers{})
			defer c.CloseIdleConnections()
			answered := 0
			for i := range 3 {
				id := fmt.Sprintf("a%d", i)
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				body, err := sendCall(ctx, t, c, upstream, id)
				cancel()
				if err == nil {
					assert.Equal(t, body, id)
					answered++
				}
			}
			assert.Equal(t, answered, test.answered)
			assert.Equal(t, upstream.calls.Load(), int64(3), "a call was sent twice")
		})
	}
}

// An idle connection that the upstream has closed or written to is not reused.
func TestBrokenIdleConnectionIsNotReused(t *testing.T) {
	for name, breakConn := range map[string]func(net.Conn){
		"closed":     func(conn net.Conn) { _ = conn.Close() },
		"written to": func(conn net.Conn) { writeText(conn, sealedResponse("a0", "late")) },
	} {
		t.Run(name, func(t *testing.T) {
			var broken atomic.Int64
			upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
				for {
					request := s.readAll(r)
					if request == nil {
						return
					}
					writeText(conn, sealedResponse(request.Header.Get("X-Attempt-Id"), "x"))
					time.Sleep(20 * time.Millisecond)
					breakConn(conn)
					broken.Add(1)
				}
			})
			c := call.NewUpstreamClient(4, platform.Headers{})
			defer c.CloseIdleConnections()
			for i := range int64(3) {
				_, err := sendCall(context.Background(), t, c, upstream, fmt.Sprintf("a%d", i))
				assert.NilError(t, err)
				for broken.Load() <= i {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(5 * time.Millisecond)
			}
			assert.Equal(t, c.DialCount(), uint64(3))
		})
	}
}

// An upstream that responds before it has read the whole request must not take
// the next call for the rest of that request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		for {
			request := s.readHeaders(r)
			if request == nil {
				return
			}
			writeText(conn, sealedResponse(request.Header.Get("X-Attempt-Id"), "x"))
			if request.ContentLength > 0 {
				s.blockUntilTestEnds()
			}
		}
	})
	c := call.NewUpstreamClient(4, platform.Headers{})
	defer c.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+upstream.address.String()+"/", strings.NewReader(strings.Repeat("z", 8<<20)))
	assert.NilError(t, err)
	request.Header.Set("X-Attempt-Id", "long")
	response, err := c.RoundTrip(request)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	_ = response.Body.Close()
	_, err = sendCall(context.Background(), t, c, upstream, "next")
	assert.NilError(t, err)
	assert.Equal(t, c.DialCount(), uint64(2))
}

// When the context ends, the call is canceled at the upstream at once.
func TestContextEndCancelsCall(t *testing.T) {
	ended := make(chan struct{})
	upstream := newScriptedUpstream(t, func(s *scriptedUpstream, _ net.Conn, r *bufio.Reader) {
		s.readAll(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	c := call.NewUpstreamClient(4, platform.Headers{})
	defer c.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := sendCall(ctx, t, c, upstream, "a1")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	<-ended
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
}
