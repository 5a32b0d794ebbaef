package call

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/common/dial"
	"lentilferry.example/lentilferry/common/httpstatus"
	"lentilferry.example/lentilferry/config"
)

// countingConn counts the bytes written to a connection. If no byte of a call
// was written, the call was certainly not run.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// process is the number of the upstream process that the connection is to; see
	// UpstreamClient.HasEnded. It is 0 for a connection to another node.
	process uint64
	// writeErr is the first error that Write has returned. Only the goroutine that
	// writes may use it until its writing has ended.
	writeErr error
}

// Write writes and counts p. All of p counts as written even if the write
// fails, since a part may have been sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Unwrap returns the wrapped connection.
func (c *countingConn) Unwrap() net.Conn {
	return c.Conn
}

// writeTracker tells whether any byte of one attempt was written to its
// connection.
type writeTracker struct {
	conn atomic.Pointer[countingConn]
	// writtenBefore is the connection's byte count when the attempt got it.
	writtenBefore atomic.Int64
	// hasConn is set once the attempt got a connection of any type.
	hasConn atomic.Bool
}

// withTrace returns a context that reports the attempt's connection to the
// tracker.
func (t *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	t.hasConn.Store(true)
	if conn, ok := info.Conn.(*countingConn); ok {
		t.writtenBefore.Store(conn.written.Load())
		t.conn.Store(conn)
	}
}

// nothingSent reports whether certainly no byte of the attempt was sent.
func (t *writeTracker) nothingSent() bool {
	if !t.hasConn.Load() {
		return true
	}
	conn := t.conn.Load()
	return conn != nil && conn.written.Load() == t.writtenBefore.Load()
}

// checkStatus returns an error for a response that is none because its status is
// invalid, and ends the attempt's connection.
func (t *writeTracker) checkStatus(response *http.Response) error {
	err := httpstatus.Check(response.StatusCode)
	if err != nil {
		_ = response.Body.Close()
		// The transport keeps a connection without a body to read.
		if conn := t.conn.Load(); conn != nil {
			_ = conn.Close()
		}
	}
	return err
}

// process returns the number of the upstream process that the attempt was sent
// to.
func (t *writeTracker) process() uint64 {
	if conn := t.conn.Load(); conn != nil {
		return conn.process
	}
	return 0
}

const (
	// _dialTimeout bounds establishing a connection to another node.
	_dialTimeout = time.Second
	// _upstreamIdleTimeout bounds how long an idle connection to the upstream is
	// kept.
	_upstreamIdleTimeout = 5 * time.Second
	// _forwardIdleTimeout bounds how long an idle connection to another node is
	// kept. It is shorter than the idle timeout of the other node's server, and
	// short because each connection takes some 30 KB on the two nodes together
	// and calls go to any of many nodes.
	_forwardIdleTimeout = 3 * time.Second
	// _maxIdleConnsPerNode bounds the idle connections to one node.
	_maxIdleConnsPerNode = 32
	// _maxResponseHeaderBytes bounds the headers of a response.
	_maxResponseHeaderBytes = 64 << 10
)

// NewForwardTransport returns the transport for forwarding calls to other
// nodes. It never sends a call twice: newOutgoingRequest gives each request a
// body that keeps http.Transport from doing so. When the other node no longer
// acknowledges anything, the kernel closes the connection within a few seconds,
// whether it is idle or waits for a response.
func NewForwardTransport() *http.Transport {
	dialer := dial.New(_dialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    _maxIdleConnsPerNode,
		IdleConnTimeout:        _forwardIdleTimeout,
		MaxResponseHeaderBytes: _maxResponseHeaderBytes,
		// An owner may let a call wait for a slot for as long as its deadline allows.
		ExpectContinueTimeout: config.MaxTimeout,
	}
}
