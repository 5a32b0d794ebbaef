package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// delays are how long reads and writes of a node's connections are held up, as
// on a node short of CPU.
type delays struct{ read, write atomic.Int64 }

// slowListener accepts connections with delays.
type slowListener struct {
	net.Listener
	delays *delays
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Newf("%T is no TCP connection", conn)
	}
	return slowConn{tcp, l.delays}, nil
}

type slowConn struct {
	*net.TCPConn
	delays *delays
}

// Read returns what was received after the delay.
func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		time.Sleep(time.Duration(c.delays.read.Load()))
	}
	return n, err
}

// Write sends after the delay.
func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(c.delays.write.Load()))
	return c.TCPConn.Write(p)
}

// stopCase is one node that is stopped, and a kept connection to it.
type stopCase struct {
	t      *testing.T
	delays delays
	node   *testNode
	conn   net.Conn
	reader *bufio.Reader
	// runs counts the calls that the upstream runs.
	runs atomic.Int64
}

// newStopCase starts a node whose upstream takes the given time for a call.
func newStopCase(t *testing.T, upstreamTakes time.Duration) *stopCase {
	s := &stopCase{t: t}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			s.runs.Add(1)
			time.Sleep(upstreamTakes)
		}
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(upstream.Close)
	c := newCluster(t)
	c.slowCalls = &s.delays
	s.node = c.startWith("a1", "a", "v1", nil, netip.MustParseAddrPort(strings.TrimPrefix(upstream.URL, "http://")))
	c.apply(s.node)
	c.waitFor("the node serves", s.node.serving(1))
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.node.calls, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s.conn, s.reader = conn, bufio.NewReader(conn)
	c.waitFor("a call is answered", func() bool {
		s.send(http.MethodGet)
		return s.receive() == http.StatusOK
	})
	return s
}

// send sends a call on the kept connection.
func (s *stopCase) send(method string) {
	_, err := io.WriteString(s.conn, method+" /slips/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(s.t, err)
}

// receive returns the status of the next complete answer, 0 if there is none.
func (s *stopCase) receive() int {
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// A planned stop waits until the answers that its handlers have given were sent.
func TestStopSendsAnswersOfSlowNode(t *testing.T) {
	s := newStopCase(t, 700*time.Millisecond)
	s.delays.write.Store(int64(400 * time.Millisecond))
	s.send(http.MethodPost)
	for s.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.node.Stop()
	assert.Equal(t, s.receive(), http.StatusOK)
	<-s.node.done
}

// A call that a stopping node has received is answered, however late it is read.
func TestStopAnswersCallsReadLate(t *testing.T) {
	for _, sentAfter := range []time.Duration{250 * time.Millisecond, 350 * time.Millisecond, 450 * time.Millisecond} {
		s := newStopCase(t, 0)
		s.delays.read.Store(int64(300 * time.Millisecond))
		s.node.Stop()
		time.Sleep(sentAfter)
		s.send(http.MethodPost)
		status := s.receive()
		assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "sent %s after the stop: status %d", sentAfter, status)
		assert.Equal(t, status == http.StatusOK, s.runs.Load() == 1)
		<-s.node.done
	}
}
