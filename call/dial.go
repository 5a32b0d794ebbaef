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
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes and counts. Bytes count as written even when the write fails,
// since a part may have been sent.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Unwrap returns the connection below.
func (c *countedConn) Unwrap() net.Conn {
	return c.Conn
}

// tracker follows one try of a call over a connection.
type tracker struct {
	conn atomic.Pointer[countedConn]
	// before is what the connection had written when the try got it.
	before atomic.Int64
	got    atomic.Bool
}

// context returns a context that makes the tracker follow the call.
func (t *tracker) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.got.Store(true)
	if conn, ok := info.Conn.(*countedConn); ok {
		t.before.Store(conn.written.Load())
		t.conn.Store(conn)
	}
}

// nothingSent reports whether no byte of the call can have been sent.
func (t *tracker) nothingSent() bool {
	if !t.got.Load() {
		return true
	}
	conn := t.conn.Load()
	return conn != nil && conn.written.Load() == t.before.Load()
}

const (
	// _dialTimeout bounds the making of a connection.
	_dialTimeout = time.Second
	// _upstreamIdle is how long an unused connection to an upstream is kept.
	_upstreamIdle = 5 * time.Second
	// _forwardIdle is how long an unused connection to another node is kept;
	// shorter than the other node's server keeps it. Each takes some 30 KB on
	// the two nodes together, and calls go to any of many nodes.
	_forwardIdle = 3 * time.Second
	// _forwardIdleMost is how many unused connections to one node are kept.
	_forwardIdleMost = 32
	// _maxHeaderBytes bounds the headers of an answer.
	_maxHeaderBytes = 64 << 10
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
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    _forwardIdleMost,
		IdleConnTimeout:        _forwardIdle,
		MaxResponseHeaderBytes: _maxHeaderBytes,
	}
}
