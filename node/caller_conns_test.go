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

	"lentilferry.example/lentilferry/common/socket"
)

// idleServer serves callers whose idle connections an callerConns closes.
type idleServer struct {
	conns *callerConns
	now   time.Time
	// states gets each state of a connection after it was tracked.
	states chan http.ConnState
	caller net.Conn
	reader *bufio.Reader
}

// newIdleServer starts a server that echoes bodies, and connects to it. The
// hook runs before a state is tracked.
func newIdleServer(t *testing.T, hook func(s *idleServer, state http.ConnState)) *idleServer {
	t.Helper()
	s := &idleServer{conns: newCallerConns(), now: time.Unix(1_800_000_000, 0), states: make(chan http.ConnState, 32)}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		hook(s, state)
		s.conns.trackState(s.now, conn, state)
		s.states <- state
	}
	server.Start()
	t.Cleanup(server.Close)
	caller, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	assert.NilError(t, caller.SetDeadline(time.Now().Add(10*time.Second)))
	s.caller, s.reader = caller, bufio.NewReader(caller)
	return s
}

// await waits until a connection got into a state.
func (s *idleServer) await(state http.ConnState) {
	for got := range s.states {
		if got == state {
			return
		}
	}
}

// request sends a request in two parts, runs between in between, and returns the
// body of the answer.
func (s *idleServer) request(t *testing.T, between func()) string {
	t.Helper()
	_, err := io.WriteString(s.caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	assert.NilError(t, err)
	between()
	_, err = io.WriteString(s.caller, "print")
	assert.NilError(t, err)
	response, err := http.ReadResponse(s.reader, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

// A connection is closed once it was idle for longer than the configured bound,
// not earlier, and never while it is in use.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const bound = 15 * time.Second
	s := newIdleServer(t, func(*idleServer, http.ConnState) {})
	s.await(http.StateNew)
	for range 2 {
		body := s.request(t, func() {
			s.await(http.StateActive)
			assert.Equal(t, s.conns.closeExpired(s.now.Add(time.Hour), bound), 0)
		})
		assert.Equal(t, body, "print")
		s.await(http.StateIdle)
		assert.Equal(t, s.conns.closeExpired(s.now.Add(bound), bound), 0)
		assert.Equal(t, s.conns.closeExpired(s.now.Add(time.Hour), 0), 0)
	}
	assert.Equal(t, s.conns.closeExpired(s.now.Add(bound+time.Second), bound), 1)
	// The server may set its own deadline after it has reported the state.
	for len(s.states) == 0 {
		assert.Equal(t, s.conns.closeExpired(s.now.Add(bound+time.Second), bound), 0)
		time.Sleep(time.Millisecond)
	}
	s.await(http.StateClosed)
	_, err := s.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, s.conns.closeExpired(s.now.Add(time.Hour), bound), 0)
}

// A request that was read just before its idle connection expires is answered.
func TestRequestReadAtIdleCloseIsAnswered(t *testing.T) {
	requests := 0
	s := newIdleServer(t, func(s *idleServer, state http.ConnState) {
		if state != http.StateActive {
			return
		}
		if requests++; requests > 1 {
			s.conns.closeExpired(s.now.Add(time.Hour), time.Second)
		}
	})
	assert.Equal(t, s.request(t, func() {}), "print")
	s.await(http.StateIdle)
	body := s.request(t, func() { s.await(http.StateActive) })
	assert.Equal(t, body, "print")
	s.await(http.StateIdle)
	assert.Equal(t, s.conns.CrossedCount(), uint64(1))
}

// A request that the server has not read yet when its idle connection expires is
// answered.
func TestRequestUnreadAtIdleCloseIsAnswered(t *testing.T) {
	conns, now := newCallerConns(), time.Unix(1_800_000_000, 0)
	server, caller := connectTCP(t)
	conns.trackState(now, server, http.StateIdle)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	for state := socket.Empty; state != socket.Unread; {
		state, err = socket.Peek(server)
		assert.NilError(t, err)
	}
	assert.Equal(t, conns.closeExpired(now.Add(time.Hour), time.Second), 0)
	_, err = server.Read(make([]byte, 1))
	assert.NilError(t, err)
}

// connectTCP returns the two ends of a connection.
func connectTCP(t *testing.T) (server, caller net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = server.Close(), caller.Close() })
	return server, caller
}
