package main

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

// The checker detects each kind of violation, whether the run or the response
// is recorded first.
func TestCheckerDetectsViolations(t *testing.T) {
	call := fakehost.Call{ID: "c1", Method: http.MethodPost, Path: "/commands/7", Body: []byte("b")}
	hash := fakehost.HashRequest(call.Method, call.Path, call.Body)
	now := time.Now()
	run := fakehost.Run{ID: "c1", RequestHash: hash, StartedAt: now, Instance: "i-1"}
	refused := fakehost.Response{Status: http.StatusServiceUnavailable, NotRun: true}
	for name, test := range map[string]struct {
		idempotent bool
		act        func(c *checker)
		want       string
	}{
		"run once":                 {act: func(c *checker) { c.recordRun(run); c.recordResponse("c1", fakehost.Response{Status: http.StatusOK}) }},
		"refused, not run":         {act: func(c *checker) { c.recordResponse("c1", refused) }},
		"run twice, idempotent":    {idempotent: true, act: func(c *checker) { c.recordRun(run); c.recordRun(run) }},
		"run twice":                {act: func(c *checker) { c.recordRun(run); c.recordRun(run) }, want: "run 2 times"},
		"refused and run":          {act: func(c *checker) { c.recordRun(run); c.recordResponse("c1", refused) }, want: "answered 503 (not run) but run"},
		"run after a refusal":      {act: func(c *checker) { c.recordResponse("c1", refused); c.recordRun(run) }, want: "answered 503 (not run) but run"},
		"never sent":               {act: func(c *checker) { c.recordRun(fakehost.Run{ID: "c9"}) }, want: "never sent by a caller"},
		"request changed":          {act: func(c *checker) { c.recordRun(fakehost.Run{ID: "c1", RequestHash: "x"}) }, want: "differs from the one sent"},
		"response of another call": {act: func(c *checker) { c.recordResponse("c1", fakehost.Response{Status: http.StatusOK, Mismatch: "seal"}) }, want: "does not match the request"},
		"not found":                {act: func(c *checker) { c.recordResponse("c1", fakehost.Response{Status: http.StatusNotFound}) }, want: "404"},
		"after leave": {act: func(c *checker) {
			c.recordRun(run)
			c.checkRunsAfterLeave("i-1", now.Add(-_leaveGracePeriod-time.Millisecond))
		}, want: "after its leave was confirmed"},
		"within grace period": {act: func(c *checker) { c.recordRun(run); c.checkRunsAfterLeave("i-1", now.Add(-_leaveGracePeriod)) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker()
			c.recordSend(call, test.idempotent)
			test.act(c)
			_, violations := c.report()
			if test.want == "" {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Assert(t, len(violations) > 0 && strings.Contains(violations[0], test.want), "%v", violations)
		})
	}
}

// The proxy applies each link fault and delivers the data that it held back
// once the link is healthy again.
func TestLinkFaults(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				line, _ := bufio.NewReader(conn).ReadString('\n')
				_, _ = conn.Write([]byte(line))
			}()
		}
	}()
	p, err := newProxy(netip.MustParseAddrPort(listener.Addr().String()))
	assert.NilError(t, err)
	defer p.close()
	sendLine := func(wait time.Duration) (net.Conn, error) {
		conn, err := net.Dial("tcp", p.address().String())
		// With _linkReset the proxy resets a connection as soon as it accepts it. The
		// reset may arrive before Dial returns, which then reports it.
		if errors.Is(err, syscall.ECONNRESET) {
			return nil, err
		}
		assert.NilError(t, err)
		_, _ = conn.Write([]byte("hello\n"))
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		_, err = bufio.NewReader(conn).ReadString('\n')
		return conn, err
	}
	for _, f := range []linkFault{_linkHealthy, _linkSlow} {
		p.setFault(f)
		conn, err := sendLine(5 * time.Second)
		assert.NilError(t, err)
		_ = conn.Close()
	}
	for _, f := range []linkFault{_linkStalled, _linkOneWay} {
		p.setFault(f)
		conn, err := sendLine(50 * time.Millisecond)
		assert.ErrorContains(t, err, "timeout")
		p.setFault(_linkHealthy)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		line, err := bufio.NewReader(conn).ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "hello\n")
		_ = conn.Close()
	}
	p.setFault(_linkReset)
	_, err = sendLine(5 * time.Second)
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), "timeout"), "%v", err)
}
