package call_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/membership"
)

const _cutBody = "the whole body"

// _cutResponses are responses whose framing differs.
var _cutResponses = []struct{ name, text string }{
	{"length", "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: 14\r\n\r\n" + _cutBody},
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n\r\n" + _cutBody},
	{"chunked", "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n5\r\n body\r\n0\r\n\r\n"},
	{"until close", "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n\r\n" + _cutBody},
	{"until close, HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n\r\n" + _cutBody},
	{"after an informational response", "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %s\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: %[1]s\r\nX-Server-Seal: s\r\nContent-Length: 14\r\n\r\n" + _cutBody},
	{"after a response to another call", "HTTP/1.1 200 OK\r\nX-Attempt-Id: zz\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nzzHTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: 14\r\n\r\n" + _cutBody},
}

// cutUpstream answers calls whose IDs begin with "w" fully and each other call with the first
// bytes of a response.
type cutUpstream struct {
	text  string
	cut   atomic.Int64
	reset bool
}

func (c *cutUpstream) serve(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
	for {
		request := s.readAll(r)
		if request == nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if strings.HasPrefix(id, "w") {
			writeText(conn, sealedResponse(id, _cutBody))
			continue
		}
		writeText(conn, fmt.Sprintf(c.text, id)[:c.cut.Load()])
		if tcp, ok := conn.(*net.TCPConn); ok && c.reset {
			// A reset may discard bytes that were not read yet.
			time.Sleep(time.Millisecond)
			_ = tcp.SetLinger(0)
		}
		return
	}
}

// A response cut at any byte never reaches the caller as a whole success.
func TestCutResponseIsNoSuccess(t *testing.T) {
	for _, response := range _cutResponses {
		for _, reset := range []bool{false, true} {
			for _, reused := range []bool{false, true} {
				for _, local := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/reset %t/reused %t/local %t", response.name, reset, reused, local), func(t *testing.T) {
						t.Parallel()
						c := &cutUpstream{text: response.text, reset: reset}
						upstream := newScriptedUpstream(t, c.serve)
						cluster := newHostedCluster(t, _longTimeout, upstream.address)
						if local {
							cluster.useLocalOwner(t)
						}
						length := len(fmt.Sprintf(response.text, "c0000"))
						bodyAt := length - len(_cutBody)
						untilClose := strings.HasPrefix(response.name, "until close")
						for cut := range length {
							c.cut.Store(int64(cut))
							if untilClose && !reset && cut >= bodyAt {
								break // An end here is the response's own.
							}
							for i, method := range []string{http.MethodPost, http.MethodGet} {
								if reused {
									got := sendCutCall(t, cluster, method, fmt.Sprintf("w%03d%d", cut, i))
									assert.Equal(t, got.body, _cutBody)
								}
								before := upstream.calls.Load()
								got := sendCutCall(t, cluster, method, fmt.Sprintf("c%03d%d", cut, i))
								for again := 'd'; isUnreachable(got) && upstream.calls.Load() == before && again < 'w'; again++ {
									got = sendCutCall(t, cluster, method, fmt.Sprintf("%c%03d%d", again, cut, i))
								}
								assert.Equal(t, upstream.calls.Load(), before+1, "%+v", got)
								isWhole := !got.broken && got.status < http.StatusMultipleChoices
								assert.Assert(t, !isWhole || got.body == _cutBody, "cut at byte %d of %d: status %d, body %q", cut, length, got.status, got.body)
							}
						}
					})
				}
			}
		}
	}
}

// isUnreachable reports whether a call was refused since its upstream accepted no
// connection in time, as happens to the many calls of these tests on a busy
// machine.
func isUnreachable(got callResult) bool {
	return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, string(call.ReasonUnreachable))
}

// sendCutCall sends a call that is idempotent if the method is GET.
func sendCutCall(t *testing.T, cluster *testCluster, method, id string) callResult {
	t.Helper()
	request := newRequest(t, method, cluster.url+"/", nil)
	request.Header.Set("X-Attempt-Id", id)
	return sendRequest(t, request)
}

// An owner that ends at any byte of its response to the ingress gives no whole
// success either.
func TestCutOwnerResponseIsNoSuccess(t *testing.T) {
	for _, response := range _cutResponses {
		if strings.HasPrefix(response.name, "after a response") {
			continue
		}
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %t", response.name, reset), func(t *testing.T) {
				t.Parallel()
				c := &cutUpstream{text: response.text, reset: reset}
				owner := newScriptedUpstream(t, c.serve)
				cluster := newTestCluster(t, _longTimeout)
				cluster.pool.Update([]membership.Member{ownerMember(owner.address)})
				length := len(fmt.Sprintf(response.text, "c0000"))
				for cut := range length {
					c.cut.Store(int64(cut))
					got := sendCutCall(t, cluster, http.MethodPost, fmt.Sprintf("c%03d0", cut))
					assert.Equal(t, owner.calls.Load(), int64(cut+1))
					isWhole := !got.broken && got.status < http.StatusMultipleChoices
					assert.Assert(t, !isWhole || got.body == _cutBody, "cut at byte %d of %d: status %d, body %q", cut, length, got.status, got.body)
				}
			})
		}
	}
}

// ownerMember returns the record of a node whose peer address is given.
func ownerMember(address netip.AddrPort) membership.Member {
	return membership.Member{
		ID: "node-x", Incarnation: 1, State: membership.Serving, Zone: "a", Region: "r",
		Service: "s", Version: "v1", Slots: _testSlots, PeerAddress: address,
	}
}
