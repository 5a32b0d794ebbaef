package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/pipeline"
)

// A connection that was taken over is tracked as in use while it has requests, and
// is closed once it was idle for longer than the bound.
func TestIdlePipelinedConnectionIsClosed(t *testing.T) {
	const bound = 15 * time.Second
	now := time.Unix(1_800_000_000, 0)
	conns, proceed := newCallerConns(), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-proceed }))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) { conns.trackState(now, conn, state) }
	pipelines := pipeline.New(pipeline.Dependencies{
		Depth: 2, IsIdempotent: func(*http.Request) bool { return true }, Budget: call.NewBufferBudget(1 << 20), Logger: klog.Background(),
	})
	server.Listener = pipelines.Attach(server.Config, server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	caller, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	assert.NilError(t, caller.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for pipelines.AheadCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, conns.closeExpired(now.Add(time.Hour), bound), 0)
	assert.Equal(t, conns.endUnused(), 1)
	close(proceed)
	reader := bufio.NewReader(caller)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, conns.closeExpired(now.Add(bound), bound), 0)
	for conns.ClosedCount() == 0 {
		conns.closeExpired(now.Add(bound+time.Second), bound)
		time.Sleep(time.Millisecond)
	}
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	for conns.endUnused() > 0 {
		time.Sleep(time.Millisecond)
	}
}
