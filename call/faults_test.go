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

	"lentilferry.example/lentilferry/call"
)

// _shortTimeout is the routes' timeout in tests that run into it.
const _shortTimeout = 300 * time.Millisecond

// _longTimeout is the routes' timeout in tests that must not run into it.
const _longTimeout = 20 * time.Second

// script is what a scriptedUpstream does with one connection.
type script func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader)

// _faultSteps are the steps of a call at which TestFaultMatrix injects a fault.
var _faultSteps = []struct {
	name        string
	beforeFault script
}{
	{name: "connected", beforeFault: func(*scriptedUpstream, net.Conn, *bufio.Reader) {}},
	{name: "headers-sent", beforeFault: func(s *scriptedUpstream, _ net.Conn, r *bufio.Reader) { s.readHeaders(r) }},
	{name: "body-half-sent", beforeFault: func(s *scriptedUpstream, _ net.Conn, r *bufio.Reader) {
		if request := s.readHeaders(r); request != nil {
			_, _ = io.CopyN(io.Discard, request.Body, 10)
		}
	}},
	{name: "sent", beforeFault: func(s *scriptedUpstream, _ net.Conn, r *bufio.Reader) { s.readAll(r) }},
	{name: "response-begun", beforeFault: func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		s.readAll(r)
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Le")
	}},
	{name: "response-headers", beforeFault: func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		s.readAll(r)
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n")
	}},
	{name: "response-half", beforeFault: func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		s.readAll(r)
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("x", 20000))
	}},
	{name: "chunked-half", beforeFault: func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		s.readAll(r)
		writeText(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
	}},
}

// TestFaultMatrix injects each fault at each step of a call, for a call that
// may be retried and for one that may not. The call must end with an unknown
// outcome and must not be sent twice.
func TestFaultMatrix(t *testing.T) {
	faults := []struct {
		name    string
		fault   script
		timeout time.Duration
	}{
		{name: "close", fault: func(*scriptedUpstream, net.Conn, *bufio.Reader) {}, timeout: _longTimeout},
		{name: "reset", fault: func(_ *scriptedUpstream, conn net.Conn, _ *bufio.Reader) {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}, timeout: _longTimeout},
		{name: "freeze", fault: func(s *scriptedUpstream, _ net.Conn, _ *bufio.Reader) { s.blockUntilTestEnds() }, timeout: _shortTimeout},
		{name: "garbage", fault: func(_ *scriptedUpstream, conn net.Conn, _ *bufio.Reader) { writeText(conn, "\x00\x01garbage\r\n\r\n") }, timeout: _longTimeout},
	}
	for _, step := range _faultSteps {
		for _, f := range faults {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				t.Run(step.name+"/"+f.name+"/"+method, func(t *testing.T) {
					t.Parallel()
					upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
						step.beforeFault(s, conn, r)
						f.fault(s, conn, r)
					})
					cluster := newTestCluster(t, f.timeout, upstream.address)
					got := sendRequest(t, newRequest(t, method, cluster.url+"/commands", strings.NewReader(strings.Repeat("b", 100))))
					// At "connected" the fault may occur before the first byte was
					// sent. Then the call was certainly not run.
					notRun := step.name == "connected" && got.outcome == call.NotRun.String() && upstream.calls.Load() == 0
					assert.Assert(t, notRun || got.outcome == call.Unknown.String(),
						"status %d, outcome %q, reason %q", got.status, got.outcome, got.reason)
					assert.Assert(t, upstream.calls.Load() <= 1, "the call was sent %d times", upstream.calls.Load())
				})
			}
		}
	}
}

// A call to an upstream that accepts no connection is certainly not run, and
// the caller is told when to retry.
func TestClosedPortMeansNotRun(t *testing.T) {
	cluster := newTestCluster(t, _longTimeout, closedPort(t))
	got := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands", strings.NewReader("b")))
	assert.Equal(t, got.outcome, call.NotRun.String())
	assert.Equal(t, got.reason, string(call.ReasonUnreachable))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
}

// A call that one upstream did not run is sent to another one, and runs once.
func TestNotRunCallIsRetriedOnAnotherUpstream(t *testing.T) {
	runs := make(chan string, 10)
	workingUpstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		runs <- string(body)
		_, _ = w.Write(body)
	}))
	cluster := newTestCluster(t, _longTimeout, closedPort(t), workingUpstream)
	for range 8 {
		got := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands", strings.NewReader("print")))
		assert.Equal(t, got.status, http.StatusOK, "%s %s", got.outcome, got.reason)
		assert.Equal(t, got.body, "print")
		assert.Equal(t, <-runs, "print")
	}
	assert.Equal(t, len(runs), 0)
}

// After an unknown outcome, a lookup with a safe method is retried. Any other
// call is not, even if another upstream would respond.
func TestUnknownOutcomeIsRetriedOnlyWhenSafe(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		retried            bool
	}{
		{"lookup", http.MethodGet, "/slips", true},
		{"post", http.MethodPost, "/slips", false},
		{"get on a command route", http.MethodGet, "/commands", false},
		{"delete", http.MethodDelete, "/slips", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			failing := newScriptedUpstream(t, func(s *scriptedUpstream, _ net.Conn, r *bufio.Reader) { s.readAll(r) })
			workingUpstream := serveUpstream(t, echoHandler())
			cluster := newTestCluster(t, _longTimeout, failing.address, workingUpstream)
			unknown := 0
			for range 40 {
				got := sendRequest(t, newRequest(t, test.method, cluster.url+test.path, nil))
				if got.outcome == call.Unknown.String() {
					unknown++
				}
			}
			assert.Assert(t, failing.calls.Load() > 0)
			assert.Equal(t, unknown == 0, test.retried, "%d unknown", unknown)
			if !test.retried {
				assert.Equal(t, int64(unknown), failing.calls.Load())
			}
		})
	}
}

// http.Transport retries some calls on its own when a reused connection breaks.
// The transports to owners and upstreams must not.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, test := range []struct{ name, method, key string }{
		{"get", http.MethodGet, ""},
		{"post with an idempotency key", http.MethodPost, "k-1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
				if s.readAll(r) == nil {
					return
				}
				if s.calls.Load() == 1 {
					writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					// Reads the second call on this connection and closes the
					// connection without a response.
					s.readAll(r)
				}
			})
			cluster := newTestCluster(t, _longTimeout, upstream.address)
			for i, want := range []string{"", call.Unknown.String()} {
				request := newRequest(t, test.method, cluster.url+"/commands", nil)
				if test.key != "" {
					request.Header.Set("Idempotency-Key", test.key)
				}
				got := sendRequest(t, request)
				assert.Equal(t, got.outcome, want, "call %d: %s", i, got.reason)
			}
			assert.Equal(t, upstream.calls.Load(), int64(2))
		})
	}
}

// A response that ends with its connection looks complete even if it is cut
// short, so it counts as an unknown outcome.
func TestCloseDelimitedResponseIsRefused(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.0 200 OK\r\n\r\nhalf an ans",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an ans",
	} {
		upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
			s.readAll(r)
			writeText(conn, text)
		})
		cluster := newTestCluster(t, _longTimeout, upstream.address)
		got := sendRequest(t, newRequest(t, http.MethodGet, cluster.url+"/", nil))
		assert.Equal(t, got.outcome, call.Unknown.String())
		assert.Equal(t, got.reason, string(call.ReasonCloseDelimited))
	}
}

// An upstream can report that it did not run a call.
func TestUpstreamReportsNotRun(t *testing.T) {
	shedding := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		s.readAll(r)
		writeText(conn, "HTTP/1.1 503 Service Unavailable\r\nLentilferry-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
	})
	cluster := newTestCluster(t, _longTimeout, shedding.address)
	got := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands", strings.NewReader("b")))
	assert.Equal(t, got.outcome, call.NotRun.String())
	assert.Equal(t, got.reason, string(call.ReasonUpstreamRefused))
}

// A response that begins before the request was read to its end reaches the
// caller completely, and the connection to the caller stays intact.
func TestEarlyResponse(t *testing.T) {
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.WriteHeader(http.StatusAccepted)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(w, r.Body)
	}))
	cluster := newTestCluster(t, _longTimeout, upstream)
	for _, size := range []int{1, 1000, 300 << 10, 3 << 20} {
		body := strings.Repeat("z", size)
		// LimitReader hides the length, so that the body is sent in chunks.
		got := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands", io.LimitReader(strings.NewReader(body), int64(size))))
		assert.Equal(t, got.status, http.StatusAccepted)
		assert.Assert(t, got.body == body, "%d of %d bytes", len(got.body), size)
	}
}

// The end of a request may arrive after its response. Without drainRequest the
// server would read the connection from two goroutines at once and panic.
func TestRequestEndsAfterResponse(t *testing.T) {
	upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
		s.readHeaders(r)
		writeText(conn, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	})
	cluster := newTestCluster(t, _longTimeout, upstream.address)
	conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(_longTimeout)))
	r := bufio.NewReader(conn)
	for range 3 {
		writeText(conn, "POST /commands HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		response, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusNoContent)
		writeText(conn, "0\r\n\r\n")
	}
}

// A call without a body reaches the upstream without one.
func TestEmptyBodyStaysEmpty(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		raw := make(chan *http.Request, 1)
		upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
			raw <- s.readHeaders(r)
			writeText(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		})
		cluster := newTestCluster(t, _longTimeout, upstream.address)
		got := sendRequest(t, newRequest(t, method, cluster.url+"/commands", nil))
		assert.Equal(t, got.status, http.StatusNoContent)
		request := <-raw
		assert.Equal(t, request.ContentLength, int64(0), method)
		assert.Equal(t, len(request.TransferEncoding), 0, method)
	}
}
