package main

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

// Each kind of broken promise is seen, in whichever order its parts are.
func TestCheckerDetectsViolations(t *testing.T) {
	call := fakehost.Call{ID: "c1", Method: http.MethodPost, Path: "/commands/7", Body: []byte("b")}
	hash := fakehost.HashRequest(call.Method, call.Path, call.Body)
	now := time.Now()
	run := fakehost.Run{ID: "c1", RequestHash: hash, StartedAt: now, Instance: "i-1"}
	refused := fakehost.Response{Status: http.StatusServiceUnavailable, NotRun: true}
	for name, c := range map[string]struct {
		idempotent bool
		act        func(p *checker)
		want       string
	}{
		"kept":                  {act: func(p *checker) { p.recordRun(run); p.recordResponse("c1", fakehost.Response{Status: http.StatusOK}) }},
		"refused, not run":      {act: func(p *checker) { p.recordResponse("c1", refused) }},
		"run twice, idempotent": {idempotent: true, act: func(p *checker) { p.recordRun(run); p.recordRun(run) }},
		"run twice":             {act: func(p *checker) { p.recordRun(run); p.recordRun(run) }, want: "run 2 times"},
		"refused and run":       {act: func(p *checker) { p.recordRun(run); p.recordResponse("c1", refused) }, want: "answered 503, and run"},
		"run after a refusal":   {act: func(p *checker) { p.recordResponse("c1", refused); p.recordRun(run) }, want: "answered 503, and run"},
		"unasked":               {act: func(p *checker) { p.recordRun(fakehost.Run{ID: "c9"}) }, want: "no caller sent it"},
		"changed":               {act: func(p *checker) { p.recordRun(fakehost.Run{ID: "c1", RequestHash: "x"}) }, want: "other content"},
		"mixed":                 {act: func(p *checker) { p.recordResponse("c1", fakehost.Response{Status: http.StatusOK, Mismatch: "seal"}) }, want: "not its own"},
		"denied":                {act: func(p *checker) { p.recordResponse("c1", fakehost.Response{Status: http.StatusNotFound}) }, want: "404"},
		"after leaving": {act: func(p *checker) {
			p.recordRun(run)
			p.checkRunsAfterLeave("i-1", now.Add(-_leaveGracePeriod-time.Millisecond))
		}, want: "after its leaving"},
		"before leaving": {act: func(p *checker) { p.recordRun(run); p.checkRunsAfterLeave("i-1", now.Add(-_leaveGracePeriod)) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newChecker()
			p.recordSend(call, c.idempotent)
			c.act(p)
			_, violations := p.report()
			if c.want == "" {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Assert(t, len(violations) > 0 && strings.Contains(violations[0], c.want), "%v", violations)
		})
	}
}

// The link does what its fault says, and passes what it held once it is sound.
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
