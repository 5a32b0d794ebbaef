package call_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/platform"
)

// _invalidStatuses are three digits that are no HTTP status.
var _invalidStatuses = []string{"000", "099", "600", "999"}

// invalidStatus returns a response with the given status whose body looks like
// a response to the call.
func invalidStatus(status, id string) string {
	body := sealedResponse(id, "from a body")
	return fmt.Sprintf("HTTP/1.1 %s x\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// newInvalidUpstream starts an upstream that answers each call with an invalid
// status and leaves the connection open.
func newInvalidUpstream(t *testing.T, status string) *scriptedUpstream {
	return newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		for request := s.readAll(r); request != nil; request = s.readAll(r) {
			writeText(conn, invalidStatus(status, request.Header.Get("X-Attempt-Id")))
		}
	})
}

// Guards against a body that is taken for the response because the status before
// it is none, and against such statuses in responses to callers.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range _invalidStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			upstream := newInvalidUpstream(t, status)
			cluster := newHostedCluster(t, _longTimeout, upstream.address)
			for n := range int64(2) {
				request := newRequest(t, http.MethodPost, cluster.url+"/commands", strings.NewReader("b"))
				request.Header.Set("X-Attempt-Id", fmt.Sprintf("a%d", n))
				got := sendRequest(t, request)
				assert.Equal(t, got.status, http.StatusBadGateway, "%s %s %q", got.outcome, got.reason, got.body)
				// Sent once, each on a connection of its own.
				assert.Equal(t, upstream.calls.Load(), n+1)
				assert.Equal(t, upstream.accepted.Load(), n+1)
			}
		})
	}
}

// An idempotent call is sent again, as after any broken response.
func TestLookupIsSentAgainAfterInvalidStatus(t *testing.T) {
	for _, status := range _invalidStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			upstream := newInvalidUpstream(t, status)
			cluster := newTestCluster(t, _longTimeout, upstream.address, serveUpstream(t, echoHandler()))
			for range 8 {
				got := sendRequest(t, newRequest(t, http.MethodGet, cluster.url+"/slips", nil))
				assert.Equal(t, got.status, http.StatusOK, "%s %s", got.outcome, got.reason)
			}
		})
	}
}

// Guards against the same at the hop between nodes.
func TestInvalidStatusOfAnotherNodeIsNoResponse(t *testing.T) {
	for _, status := range _invalidStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			// reused counts the calls on connections that had an invalid status.
			var reused atomic.Int64
			owner := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
				for n := 0; s.readAll(r) != nil; n++ {
					if n > 0 {
						reused.Add(1)
					}
					writeText(conn, "HTTP/1.1 "+status+" x\r\nContent-Length: 0\r\n\r\n")
				}
			})
			cluster := newTestCluster(t, _longTimeout)
			cluster.pool.Update([]membership.Member{{
				ID: "node-a", Incarnation: 1, State: membership.Serving, Zone: "a", Region: "r",
				Service: "s", Version: "v1", Slots: _testSlots, PeerAddress: owner.address,
			}})
			for range 2 {
				got := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands", strings.NewReader("b")))
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.outcome, call.Unknown.String())
			}
			assert.Equal(t, reused.Load(), int64(0))
		})
	}
}

// Guards against a health check that takes the body of a response with an
// invalid status for the response of a healthy upstream. It is sent as a node
// sends it.
func TestInvalidStatusFailsHealthCheck(t *testing.T) {
	for _, status := range _invalidStatuses {
		upstream := newInvalidUpstream(t, status)
		for name, dialect := range map[string]call.Dialect{"native": call.NativeDialect{}, "hosted": platform.Headers{}} {
			c := call.NewUpstreamClient(1, dialect)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+upstream.address.String()+"/healthz", nil)
			assert.NilError(t, err)
			request.Close = true
			response, err := c.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
				t.Errorf("%s, %s: got a response with status %d", status, name, response.StatusCode)
			}
			cancel()
			c.CloseIdleConnections()
		}
	}
}
