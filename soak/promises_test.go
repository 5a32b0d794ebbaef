package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
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
	call := fakehost.Call{ID: "c1", Method: http.MethodPost, Path: "/commands/7", Body: []byte("b"), Key: _keyPrefix + _steady}
	hash := fakehost.HashRequest(call.Method, call.Path, call.Body)
	now := time.Now()
	run := fakehost.Run{ID: "c1", RequestHash: hash, StartedAt: now, Instance: "i-1", Tenant: _steady}
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
		"run for another workspace": {act: func(c *checker) {
			c.recordRun(fakehost.Run{ID: "c1", RequestHash: hash, Tenant: "forged"})
		}, want: `workspace "forged" instead of "steady"`},
		"key passed on": {act: func(c *checker) {
			c.recordRun(fakehost.Run{ID: "c1", RequestHash: hash, Tenant: _steady, Headers: http.Header{"X": {call.Key}}})
		}, want: "got the key in header X"},
		"valid key refused": {act: func(c *checker) { c.recordResponse("c1", fakehost.Response{Status: http.StatusUnauthorized}) }, want: "answered 401"},
		"no limit":          {act: func(c *checker) { c.recordResponse("c1", fakehost.Response{Status: http.StatusTooManyRequests}) }, want: "answered 429"},
		"run behind a closing response": {idempotent: true, act: func(c *checker) {
			c.recordRun(run)
			c.recordResponse("c1", fakehost.Response{Unread: true})
		}, want: "closed the connection before it"},
		"after leave": {act: func(c *checker) {
			c.recordRun(run)
			c.checkRunsAfterLeave("i-1", now.Add(-_leaveGracePeriod-time.Millisecond))
		}, want: "after its leave was confirmed"},
		"within grace period": {act: func(c *checker) { c.recordRun(run); c.checkRunsAfterLeave("i-1", now.Add(-_leaveGracePeriod)) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker()
			c.recordSend(call, test.idempotent, "n1")
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

// A call that has crashed three instances is a violation when it starts for the
// fourth time too late, unless it was sent to a node that was isolated just before.
func TestCheckerDetectsCrashesByCallsToBeBlocked(t *testing.T) {
	const late = _blockedWithin + time.Millisecond
	for name, test := range map[string]struct {
		// runs are when the calls start.
		runs []time.Duration
		// isolated is when the node was isolated, if it was.
		isolated *time.Duration
		// paths are the paths of the calls; all the same if empty.
		paths []string
		want  int
	}{
		"many in time":         {runs: []time.Duration{0, 0, 0, 1, 2, _blockedWithin, _blockedWithin}},
		"three late":           {runs: []time.Duration{0, 0, 0, late, late, late}},
		"four late":            {runs: []time.Duration{0, 0, 0, late, late, late, late}, want: 1},
		"third crash late":     {runs: []time.Duration{0, 0, late, late, late, late, late, late}},
		"six late":             {runs: []time.Duration{0, 0, 0, 1, late, late, late, late, late, late}, want: 3},
		"other calls":          {runs: []time.Duration{0, 0, 0, late, late, late, late}, paths: []string{"/a", "/b"}},
		"isolated just before": {runs: []time.Duration{0, 0, 0, late, late, late, late}, isolated: new(late - _isolationGracePeriod)},
		"isolated long before": {runs: []time.Duration{0, 0, 0, late, late, late, late}, isolated: new(late - _isolationGracePeriod - 1), want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c, start := newChecker(), time.Now()
			if test.isolated != nil {
				c.beginIsolation("n1")
				c.endIsolation("n1", start.Add(*test.isolated))
			}
			for i, after := range test.runs {
				call := fakehost.Call{ID: fmt.Sprint("c", i), Method: http.MethodGet, Path: "/crashing-1", Key: _keyPrefix + _steady}
				if len(test.paths) > 0 {
					call.Path = test.paths[i%len(test.paths)]
				}
				c.recordSend(call, true, "n1")
				c.recordRun(fakehost.Run{
					ID: call.ID, RequestHash: fakehost.HashRequest(call.Method, call.Path, nil), StartedAt: start.Add(after), Instance: fmt.Sprint("i-", i), Tenant: _steady, Crashed: true,
				})
			}
			_, violations := c.report()
			assert.Equal(t, len(violations), test.want, "%v", violations)
		})
	}
}

// A proxy that refuses connections ends the open ones and accepts new ones again
// on the same address.
func TestProxyRefusesConnections(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = target.Close() }()
	p := newTestProxy(t, netip.MustParseAddrPort(target.Addr().String()))
	conn, err := net.Dial("tcp", p.address.String())
	assert.NilError(t, err)
	accepted, err := target.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	p.refuse()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%v", err)
	_, err = net.Dial("tcp", p.address.String())
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	assert.NilError(t, p.listen())
	conn, err = net.Dial("tcp", p.address.String())
	assert.NilError(t, err)
	_ = conn.Close()
}

// newTestProxy starts a proxy to the target.
func newTestProxy(t *testing.T, target netip.AddrPort) *proxy {
	t.Helper()
	address, err := (&portAllocator{next: os.Getpid()}).allocate()
	assert.NilError(t, err)
	p, err := newProxy(address, target)
	assert.NilError(t, err)
	t.Cleanup(p.close)
	return p
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
	p := newTestProxy(t, netip.MustParseAddrPort(listener.Addr().String()))
	sendLine := func(wait time.Duration) (net.Conn, error) {
		conn, err := net.Dial("tcp", p.address.String())
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
