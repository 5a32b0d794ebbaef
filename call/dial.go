package call

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/common/dial"
)

// countedConn counts the bytes written to a connection, so that a call of
// which nothing was written can be told to be not run.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes and counts. Bytes count as written even when the write fails,
// since a part may have been sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Unwrap returns the connection below.
func (c *countingConn) Unwrap() net.Conn {
	return c.Conn
}

// tracker follows one try of a call over a connection.
type writeTracker struct {
	conn atomic.Pointer[countingConn]
	// before is what the connection had written when the try got it.
	writtenBefore atomic.Int64
	hasConn       atomic.Bool
}

// withTrace returns a withTrace that makes the tracker follow the call.
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

// nothingSent reports whether no byte of the call can have been sent.
func (t *writeTracker) nothingSent() bool {
	if !t.hasConn.Load() {
		return true
	}
	conn := t.conn.Load()
	return conn != nil && conn.written.Load() == t.writtenBefore.Load()
}

const (
	// _dialTimeout bounds the making of a connection.
	_dialTimeout = time.Second
	// _upstreamIdle is how long an unused connection to an upstream is kept.
	_upstreamIdleTimeout = 5 * time.Second
	// _forwardIdle is how long an unused connection to another node is kept;
	// shorter than the other node's server keeps it. Each takes some 30 KB on
	// the two nodes together, and calls go to any of many nodes.
	_forwardIdleTimeout = 3 * time.Second
	// _forwardIdleMost is how many unused connections to one node are kept.
	_maxIdleConnsPerNode = 32
	// _maxHeaderBytes bounds the headers of an answer.
	_maxResponseHeaderBytes = 64 << 10
)

// NewForwardTransport returns the transport that carries calls to other nodes.
// It sends no call twice. A connection that goes silent is closed by the
// kernel within a few seconds, whether it is idle or waits for an answer.
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
	}
}
