package call

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/dial"
	"lentilferry.example/lentilferry/common/httpstatus"
	"lentilferry.example/lentilferry/common/socket"
)

const (
	// _upstreamDialTimeout bounds establishing a connection to the upstream,
	// which is on the same VM.
	_upstreamDialTimeout = 500 * time.Millisecond
	// _keepAliveMargin is subtracted from the upstream's keep-alive timeout, so
	// that no call is sent on an idle connection while the upstream closes it.
	_keepAliveMargin = time.Second
	// _maxStrayResponses bounds the responses to other calls, and informational
	// ones, that are skipped while one call waits for its response. After that
	// many, the connection counts as broken.
	_maxStrayResponses = 4
	// _maxStrayBodyBytes bounds the body of a response to another call.
	_maxStrayBodyBytes = 1 << 20
	// _connBufferBytes is the size of a connection's read and write buffers.
	_connBufferBytes = 4 << 10
	// _maxInlineBodyBytes bounds the request bodies that are sent before the
	// response is read. A longer one is sent in a goroutine of its own.
	_maxInlineBodyBytes = 16 << 10
)

// errStrayResponses means that a connection delivered responses to other calls
// in place of the one that a call waited for.
var errStrayResponses = errors.New("upstream connection delivers responses to other calls")

// errUnnamedResponse means that a connection which has carried other responses
// delivered one that names no call.
var errUnnamedResponse = errors.New("upstream response names no call and may belong to an earlier one")

// UpstreamClient sends calls to one upstream over HTTP/1.1, one at a time on
// each connection. Unlike http.Transport it never retries a call, aborts a call
// at once when its context ends, and discards responses that belong to other
// calls.
type UpstreamClient struct {
	dialect Dialect
	dialer  *net.Dialer
	// maxIdle bounds the idle connections.
	maxIdle int

	mu sync.Mutex
	// idle holds the idle connections, the most recently used one at the end.
	idle []*upstreamConn
	// closed is set by CloseIdleConnections.
	closed bool
	// dialCount is the number of connections established so far.
	dialCount uint64
	// process is the number of the upstream's process. It grows with the first
	// connection after one was refused.
	process uint64
	// refused is set while the upstream's address refuses connections.
	refused bool

	// endings counts the close-delimited responses by how they ended.
	endings endingCounts
}

var (
	_ http.RoundTripper = (*UpstreamClient)(nil)
	_ ProcessProbe      = (*UpstreamClient)(nil)
)

// NewUpstreamClient returns a client that keeps up to maxIdle idle connections.
func NewUpstreamClient(maxIdle int, dialect Dialect) *UpstreamClient {
	return &UpstreamClient{
		dialect: dialect,
		dialer:  dial.New(_upstreamDialTimeout),
		maxIdle: maxIdle,
	}
}

// errHeaderTooLong means that an upstream sent more bytes in place of a
// response's headers than allowed.
var errHeaderTooLong = errors.New("upstream response has too long headers")

// headerLimiter reads from a connection and bounds the bytes that are read for
// the headers of one response. An upstream in trouble may send bytes that never
// end.
type headerLimiter struct {
	conn net.Conn
	// left is how many bytes may still be read while limited is set.
	left    int
	limited bool
}

// Read reads from the connection. It returns errHeaderTooLong when the limit is
// reached.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// upstreamConn is one connection to the upstream.
type upstreamConn struct {
	*countingConn
	limiter *headerLimiter
	reader  *bufio.Reader
	writer  *bufio.Writer
	// hasResponded is set once the connection has delivered a response. A later
	// one that names no call may belong to an earlier call.
	hasResponded bool
	// idleDeadline is the time until which the idle connection may be reused.
	idleDeadline time.Time
}

// DialCount returns the number of connections established so far.
func (c *UpstreamClient) DialCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialCount
}

// CloseIdleConnections closes the idle connections, and from now on each other
// one at the end of its call.
func (c *UpstreamClient) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// RoundTrip sends one call and returns its response, whose body must be closed.
// An error doesn't tell whether the call was run.
func (c *UpstreamClient) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	conn, reused, err := c.acquireConn(ctx, request.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: conn.countingConn, Reused: reused})
	}
	// Closing the connection when the context ends cancels the call at the
	// upstream too.
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	sending := &sending{done: make(chan struct{})}
	if request.ContentLength >= 0 && request.ContentLength <= _maxInlineBodyBytes {
		sending.run(conn, request)
	} else {
		go sending.run(conn, request)
	}
	response, err := c.receive(conn, request)
	if err != nil {
		stopCancel()
		_ = conn.Close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	if !isSelfDelimiting(response) {
		response.Body = &closeDelimitedBody{ReadCloser: response.Body, counts: &c.endings, conn: conn.countingConn, sending: sending, callEnded: ctx.Done()}
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, client: c, conn: conn, stopCancel: stopCancel, sending: sending, response: response,
		reachedEOF: response.ContentLength == 0 || response.Body == http.NoBody,
	}
	return response, nil
}

// sending is the sending of one request.
type sending struct {
	// done is closed once the whole request was sent or sending it has failed.
	done chan struct{}
	// err is why it has failed; nil otherwise. It is set before done is closed.
	err error
}

// run sends the request.
func (s *sending) run(conn *upstreamConn, request *http.Request) {
	defer close(s.done)
	s.err = conn.send(request)
}

// hasSucceeded reports whether the whole request was sent.
func (s *sending) hasSucceeded() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// send writes the whole request.
func (conn *upstreamConn) send(request *http.Request) error {
	if err := request.Write(conn.writer); err != nil {
		return errors.Wrap(err, "send to upstream")
	}
	return errors.Wrap(conn.writer.Flush(), "send to upstream")
}

// receive reads the response to the request. It skips informational responses
// and those to other calls. A response that names no call is accepted only as
// the connection's first.
func (c *UpstreamClient) receive(conn *upstreamConn, request *http.Request) (*http.Response, error) {
	for range _maxStrayResponses {
		response, err := conn.readHeader(request)
		if err != nil {
			return nil, errors.Wrap(err, "read from upstream")
		}
		if err := httpstatus.Check(response.StatusCode); err != nil {
			return nil, errors.Wrap(err, "read from upstream")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		isFirst := !conn.hasResponded
		conn.hasResponded = true
		if !isFirst && !c.dialect.NamesCall(response.Header) {
			return nil, errUnnamedResponse
		}
		if c.dialect.IsResponseTo(request.Header, response.Header, response.StatusCode) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, _maxStrayBodyBytes))
		if err != nil || n == _maxStrayBodyBytes || response.Close {
			return nil, errStrayResponses
		}
	}
	return nil, errStrayResponses
}

// readHeader reads the headers of the next response, at most
// _maxResponseHeaderBytes.
func (conn *upstreamConn) readHeader(request *http.Request) (*http.Response, error) {
	conn.limiter.left, conn.limiter.limited = _maxResponseHeaderBytes, true
	defer func() { conn.limiter.limited = false }()
	return http.ReadResponse(conn.reader, request)
}

// acquireConn returns an idle connection and true, or a new one and false.
func (c *UpstreamClient) acquireConn(ctx context.Context, address string) (*upstreamConn, bool, error) {
	for {
		conn := c.takeIdle()
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleDeadline) && conn.reusable() {
			return conn, true, nil
		}
		_ = conn.Close()
	}
	newConn, err := c.Dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	limiter := &headerLimiter{conn: newConn}
	return &upstreamConn{
		countingConn: newConn,
		limiter:      limiter,
		reader:       bufio.NewReaderSize(limiter, _connBufferBytes),
		writer:       bufio.NewWriterSize(newConn, _connBufferBytes),
	}, false, nil
}

// Dial establishes a connection to the upstream.
func (c *UpstreamClient) Dial(ctx context.Context, address string) (*countingConn, error) { //nolint:revive // The connection is for this package and its tests.
	dialCount := c.DialCount()
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// A connection made meanwhile is newer than the refusal.
		c.refused = c.refused || errors.Is(err, syscall.ECONNREFUSED) && c.dialCount == dialCount
		return nil, errors.Wrap(err, "connect to upstream")
	}
	c.dialCount++
	if c.refused {
		c.process++
		c.refused = false
	}
	return &countingConn{Conn: raw, process: c.process}, nil
}

// HasEnded reports whether the upstream process with the given number has ended:
// its address refuses connections, or has done so before it accepted them again.
// A process that has only lost a connection still listens.
func (c *UpstreamClient) HasEnded(ctx context.Context, address string, process uint64) bool {
	if c.replaced(process) {
		return true
	}
	conn, err := c.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return c.replaced(process)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// replaced reports whether a later process than the given one accepts
// connections, or none does.
func (c *UpstreamClient) replaced(process uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused || c.process > process
}

// takeIdle returns the most recently used idle connection, or nil if there is
// none.
func (c *UpstreamClient) takeIdle() *upstreamConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

// reusable reports whether an idle connection is open and has nothing to read.
// Bytes that arrive while no call is in flight belong to no call.
func (conn *upstreamConn) reusable() bool {
	state, err := socket.Peek(conn.Conn)
	return err == nil && state == socket.Empty
}

// putIdle adds a connection whose call has ended to the idle connections, or
// closes it if it can't be reused. A copy of a response that names no call would
// be taken for the next call's, so its connection isn't reused.
func (c *UpstreamClient) putIdle(conn *upstreamConn, response *http.Response) {
	idle := idleTimeout(response.Header)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || response.Close || !c.dialect.NamesCall(response.Header) || idle <= 0 || conn.reader.Buffered() > 0 || len(c.idle) >= c.maxIdle {
		_ = conn.Close()
		return
	}
	conn.idleDeadline = time.Now().Add(idle)
	c.idle = append(c.idle, conn)
}

// idleTimeout returns how long an idle connection may be kept: up to
// _keepAliveMargin before the timeout in the upstream's Keep-Alive header, and
// at most _upstreamIdleTimeout.
func idleTimeout(h http.Header) time.Duration {
	for _, value := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
			if seconds, err := strconv.Atoi(text); err == nil && strings.EqualFold(name, "timeout") {
				return min(_upstreamIdleTimeout, time.Duration(seconds)*time.Second-_keepAliveMargin)
			}
		}
	}
	return _upstreamIdleTimeout
}
