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
func TestBrokenPromisesAreSeen(t *testing.T) {
	call := fakehost.Call{ID: "c1", Method: http.MethodPost, Path: "/commands/7", Body: []byte("b")}
	sum := fakehost.HashRequest(call.Method, call.Path, call.Body)
	now := time.Now()
	run := fakehost.Run{ID: "c1", RequestHash: sum, StartedAt: now, Instance: "i-1"}
	refused := fakehost.Response{Status: http.StatusServiceUnavailable, NotRun: true}
	for name, c := range map[string]struct {
		idempotent bool
		play       func(p *promises)
		want       string
	}{
		"kept":                  {play: func(p *promises) { p.ran(run); p.answered("c1", fakehost.Response{Status: http.StatusOK}) }},
		"refused, not run":      {play: func(p *promises) { p.answered("c1", refused) }},
		"run twice, idempotent": {idempotent: true, play: func(p *promises) { p.ran(run); p.ran(run) }},
		"run twice":             {play: func(p *promises) { p.ran(run); p.ran(run) }, want: "run 2 times"},
		"refused and run":       {play: func(p *promises) { p.ran(run); p.answered("c1", refused) }, want: "answered 503, and run"},
		"run after a refusal":   {play: func(p *promises) { p.answered("c1", refused); p.ran(run) }, want: "answered 503, and run"},
		"unasked":               {play: func(p *promises) { p.ran(fakehost.Run{ID: "c9"}) }, want: "no caller sent it"},
		"changed":               {play: func(p *promises) { p.ran(fakehost.Run{ID: "c1", RequestHash: "x"}) }, want: "other content"},
		"mixed":                 {play: func(p *promises) { p.answered("c1", fakehost.Response{Status: http.StatusOK, Mismatch: "seal"}) }, want: "not its own"},
		"denied":                {play: func(p *promises) { p.answered("c1", fakehost.Response{Status: http.StatusNotFound}) }, want: "404"},
		"after leaving":         {play: func(p *promises) { p.ran(run); p.left("i-1", now.Add(-_leavingBound-time.Millisecond)) }, want: "after its leaving"},
		"before leaving":        {play: func(p *promises) { p.ran(run); p.left("i-1", now.Add(-_leavingBound)) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPromises()
			p.sending(call, c.idempotent)
			c.play(p)
			_, broken := p.report()
			if c.want == "" {
				assert.Equal(t, len(broken), 0, "%v", broken)
				return
			}
			assert.Assert(t, len(broken) > 0 && strings.Contains(broken[0], c.want), "%v", broken)
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
	ask := func(wait time.Duration) (net.Conn, error) {
		conn, err := net.Dial("tcp", p.address().String())
		assert.NilError(t, err)
		_, _ = conn.Write([]byte("hello\n"))
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		_, err = bufio.NewReader(conn).ReadString('\n')
		return conn, err
	}
	for _, f := range []linkFault{linkSound, linkSlow} {
		p.set(f)
		conn, err := ask(5 * time.Second)
		assert.NilError(t, err)
		_ = conn.Close()
	}
	for _, f := range []linkFault{linkSilent, linkOneWay} {
		p.set(f)
		conn, err := ask(50 * time.Millisecond)
		assert.ErrorContains(t, err, "timeout")
		p.set(linkSound)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		line, err := bufio.NewReader(conn).ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "hello\n")
		_ = conn.Close()
	}
	p.set(linkReset)
	_, err = ask(5 * time.Second)
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), "timeout"), "%v", err)
}
