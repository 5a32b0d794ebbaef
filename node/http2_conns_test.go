package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
)

// Answers of a busy node over HTTP/2 are sent after the reads of a stopping node
// were ended.
func TestHTTP2CallIsAnsweredAfterReadsEnded(t *testing.T) {
	conns := newCallerConns()
	began, proceed := make(chan struct{}, 1), make(chan struct{})
	server := httptest.NewUnstartedServer(conns.handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-proceed
		_, _ = io.WriteString(w, "answer")
	})))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		conns.trackState(time.Now(), conn, state)
	}
	server.Config.ConnContext = call.ConnContext
	server.Start()
	defer server.Close()
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	go func() {
		<-began
		conns.endUnused()
		conns.stopReading()
		time.Sleep(50 * time.Millisecond)
		close(proceed)
	}()
	response, err := transport.RoundTrip(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "answer")
}
