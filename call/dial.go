package call

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
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
	// _maxHeaderBytes bounds the headers of an answer.
	_maxHeaderBytes = 64 << 10
)

// NewUpstreamTransport returns the transport from a node to its own upstream,
// with at most the given number of idle connections. It sends no call twice.
func NewUpstreamTransport(idle int) *http.Transport {
	dialer := &net.Dialer{Timeout: _dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           idle,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        _upstreamIdle,
		MaxResponseHeaderBytes: _maxHeaderBytes,
	}
}

const (
	// _pingAfter is how long a connection between nodes may be silent before
	// it is tested.
	_pingAfter = 2 * time.Second
	// _pingTimeout is how long the test may take.
	_pingTimeout = time.Second
)

// NewPeerTransport returns the transport between nodes: HTTP/2 without TLS,
// whose silent connections are found and closed within three seconds.
func NewPeerTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: _dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: _maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: _pingAfter,
			PingTimeout:     _pingTimeout,
		},
	}
}
