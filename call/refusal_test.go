package call_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/platform"
)

const (
	_unnamedRefusal  = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	_unnamedMismatch = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
)

// namedRefusal returns a refusal that echoes the call's ID.
func namedRefusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// refusalCopies are the ways in which an upstream repeats the refusal of its
// first call: right after it, and around each later call on the connection.
var _refusalCopies = []struct {
	name                                   string
	afterRefusal, beforeBody, beforeAnswer func(conn net.Conn, refusal string)
}{
	{name: "right behind the first", afterRefusal: writeText},
	{name: "while the connection is idle", afterRefusal: func(conn net.Conn, refusal string) {
		time.Sleep(20 * time.Millisecond)
		writeText(conn, refusal)
	}},
	{name: "before the next call's body is read", beforeBody: writeText},
	{name: "before the next answer", beforeAnswer: writeText},
	{name: "half behind the first, half before the next answer", afterRefusal: func(conn net.Conn, refusal string) {
		time.Sleep(20 * time.Millisecond)
		writeText(conn, refusal[:len(refusal)/2])
	}, beforeAnswer: func(conn net.Conn, refusal string) { writeText(conn, refusal[len(refusal)/2:]) }},
}

// runCounter counts how often each call was run.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[id]++
}

// of returns how often a call was run.
func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// A copy of an earlier refusal says nothing about the call that is being run.
func TestRefusalCopyIsNoAnswerToNextCall(t *testing.T) {
	for _, first := range []struct {
		name    string
		refusal func(id string) string
	}{
		{"unnamed", func(string) string { return _unnamedRefusal }},
		{"another process, unnamed", func(string) string { return _unnamedMismatch }},
		{"named", namedRefusal},
	} {
		for _, test := range _refusalCopies {
			t.Run(first.name+"/"+test.name, func(t *testing.T) {
				upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
					copied := ""
					for {
						request := s.readHeaders(r)
						if request == nil {
							return
						}
						id := request.Header.Get("X-Attempt-Id")
						if id == "a0" {
							_, _ = io.Copy(io.Discard, request.Body)
							copied = first.refusal(id)
							writeText(conn, copied)
							if test.afterRefusal != nil {
								test.afterRefusal(conn, copied)
							}
							continue
						}
						if test.beforeBody != nil {
							test.beforeBody(conn, copied)
						}
						_, _ = io.Copy(io.Discard, request.Body)
						time.Sleep(20 * time.Millisecond)
						if test.beforeAnswer != nil {
							test.beforeAnswer(conn, copied)
						}
						writeText(conn, sealedResponse(id, id))
					}
				})
				c := call.NewUpstreamClient(4, platform.Headers{})
				defer c.CloseIdleConnections()
				for i := range 4 {
					id := fmt.Sprintf("a%d", i)
					request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+upstream.address.String()+"/", strings.NewReader("body"))
					assert.NilError(t, err)
					request.Header.Set("X-Attempt-Id", id)
					response, err := c.RoundTrip(request)
					assert.NilError(t, err, id)
					_ = response.Body.Close()
					assert.Equal(t, (platform.Headers{}).IsNotRun(response.StatusCode, response.Header), i == 0, id)
					// Part of a copy may arrive now.
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
	}
}

// On a connection that has carried another call, a refusal that names no call
// may be that call's.
func TestUnnamedRefusalOnReusedConnectionIsUnknown(t *testing.T) {
	for _, refusal := range []string{_unnamedRefusal, _unnamedMismatch} {
		upstream := newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
			for n := 0; ; n++ {
				request := s.readAll(r)
				if request == nil {
					return
				}
				if n == 0 {
					writeText(conn, sealedResponse(request.Header.Get("X-Attempt-Id"), "x"))
				} else {
					writeText(conn, refusal)
				}
			}
		})
		c := call.NewUpstreamClient(4, platform.Headers{})
		defer c.CloseIdleConnections()
		_, err := sendCall(context.Background(), t, c, upstream, "a0")
		assert.NilError(t, err)
		_, err = sendCall(context.Background(), t, c, upstream, "a1")
		assert.ErrorContains(t, err, "names no call")
		_, err = sendCall(context.Background(), t, c, upstream, "a2")
		assert.NilError(t, err)
		assert.Equal(t, c.DialCount(), uint64(2))
	}
}

// Whatever copies of a refusal an upstream writes, a command that runs is not
// called not run, and runs once.
func TestRefusalCopyDoesNotRunCommandTwice(t *testing.T) {
	var runs runCounter
	var refuse atomic.Bool
	upstreams := make([]*scriptedUpstream, 2)
	for i := range upstreams {
		upstreams[i] = newScriptedUpstream(t, func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader) {
			refused := false
			for {
				request := s.readAll(r)
				if request == nil {
					return
				}
				if refuse.Load() {
					refused = true
					writeText(conn, _unnamedRefusal)
					continue
				}
				id := request.Header.Get("X-Attempt-Id")
				runs.add(id)
				if refused {
					refused = false
					writeText(conn, _unnamedRefusal)
				}
				writeText(conn, sealedResponse(id, id))
			}
		})
	}
	cluster := newHostedCluster(t, _longTimeout, upstreams[0].address, upstreams[1].address)
	for i := range 40 {
		refuse.Store(i%4 == 0)
		id := fmt.Sprintf("c%d", i)
		request := newRequest(t, http.MethodPost, cluster.url+"/commands", strings.NewReader("print"))
		request.Header.Set("X-Attempt-Id", id)
		got := sendRequest(t, request)
		ran := runs.of(id)
		assert.Assert(t, ran <= 1, "%s ran %d times", id, ran)
		assert.Assert(t, ran == 0 || got.status != http.StatusServiceUnavailable, "%s ran and was told as not run", id)
	}
}
