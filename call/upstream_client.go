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
	"golang.org/x/sys/unix"

	"lentilferry.example/lentilferry/common/dial"
)

const (
	// _upstreamDial bounds the making of a connection to the upstream, which
	// is on the same VM.
	_upstreamDialTimeout = 500 * time.Millisecond
	// _keepAliveMargin is how much sooner than the upstream says an unused
	// connection is given up, so that no call crosses its end.
	_keepAliveMargin = time.Second
	// _strayAnswersMost is how many answers to other calls are read past before
	// a connection counts as broken.
	_maxStrayResponses = 4
	// _strayBytesMost bounds the body of such an answer.
	_maxStrayBodyBytes = 1 << 20
	// _answerBuffer is the size of a connection's read and write buffers.
	_connBufferBytes = 4 << 10
	// _bodyInlineMost is the longest body that is sent before the answer is
	// read; a longer one is sent beside it.
	_maxInlineBodyBytes = 16 << 10
)

// errStray means that a connection carried answers to other calls only.
var errStrayResponses = errors.New("the connection carries answers to other calls")

// UpstreamClient sends calls to one upstream over HTTP/1.1, one at a time on
// each connection. Other than http.Transport it never sends a call twice, ends
// a call at once when its context ends, and tells an answer to another call
// from the one that it waits for.
type UpstreamClient struct {
	isAnswer func(call, answer http.Header, status int) bool
	dialer   *net.Dialer
	// idleMost bounds the unused connections.
	maxIdle int

	mu sync.Mutex
	// idle holds the unused connections, the one used last at the end.
	idle   []*upstreamConn
	closed bool
	// dialed counts the connections made.
	dialCount uint64
}

var _ http.RoundTripper = (*UpstreamClient)(nil)

// NewUpstreamClient returns a client that keeps the given number of unused
// connections at most.
func NewUpstreamClient(maxIdle int, dialect Dialect) *UpstreamClient {
	return &UpstreamClient{
		isAnswer: dialect.IsResponseTo,
		dialer:   dial.New(_upstreamDialTimeout),
		maxIdle:  maxIdle,
	}
}

// upstreamConn is one connection to the upstream.
type upstreamConn struct {
	*countingConn
	reader *bufio.Reader
	writer *bufio.Writer
	// usableUntil is when an unused connection is given up.
	idleDeadline time.Time
}

// DialCount returns how many connections were made so far.
func (c *UpstreamClient) DialCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialCount
}

// CloseIdleConnections closes the unused connections, and from now on each
// other one after its call.
func (c *UpstreamClient) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// RoundTrip sends one call and returns its answer. The answer's body must be
// closed. An error says nothing of whether the call was run.
func (c *UpstreamClient) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	conn, reused, err := c.acquireConn(ctx, request.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: conn.countingConn, Reused: reused})
	}
	// The end of the context ends the call at the upstream too.
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	sendErr := make(chan error, 1)
	if request.ContentLength >= 0 && request.ContentLength <= _maxInlineBodyBytes {
		sendErr <- conn.send(request)
	} else {
		go func() { sendErr <- conn.send(request) }()
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
	response.Body = &responseBody{
		ReadCloser: response.Body, client: c, conn: conn, stopCancel: stopCancel, sendErr: sendErr, response: response,
		reachedEOF: response.ContentLength == 0 || response.Body == http.NoBody,
	}
	return response, nil
}

func (conn *upstreamConn) send(request *http.Request) error {
	if err := request.Write(conn.writer); err != nil {
		return errors.Wrap(err, "send to upstream")
	}
	return errors.Wrap(conn.writer.Flush(), "send to upstream")
}

// receive reads the answer to the request, past informational ones and past
// those to earlier calls.
func (c *UpstreamClient) receive(conn *upstreamConn, request *http.Request) (*http.Response, error) {
	for range _maxStrayResponses {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, errors.Wrap(err, "read from upstream")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if c.isAnswer(request.Header, response.Header, response.StatusCode) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, _maxStrayBodyBytes))
		if err != nil || n == _maxStrayBodyBytes || response.Close {
			return nil, errStrayResponses
		}
	}
	return nil, errStrayResponses
}

// acquireConn returns an unused connection or a new one.
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
	return &upstreamConn{
		countingConn: newConn,
		reader:       bufio.NewReaderSize(newConn, _connBufferBytes),
		writer:       bufio.NewWriterSize(newConn, _connBufferBytes),
	}, false, nil
}

// Dial makes a connection to the upstream.
func (c *UpstreamClient) Dial(ctx context.Context, address string) (*countingConn, error) { //nolint:revive // The connection is for this package and its tests.
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to upstream")
	}
	c.mu.Lock()
	c.dialCount++
	c.mu.Unlock()
	return &countingConn{Conn: raw}, nil
}

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

// quiet reports whether an unused connection is open and has nothing to read:
// bytes that come without a call belong to none.
func (conn *upstreamConn) reusable() bool {
	tcp, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, readErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(readErr, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// keep puts a connection back whose call has ended, or closes it.
func (c *UpstreamClient) putIdle(conn *upstreamConn, response *http.Response) {
	idle := idleTimeout(response.Header)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || response.Close || idle <= 0 || conn.reader.Buffered() > 0 || len(c.idle) >= c.maxIdle {
		_ = conn.Close()
		return
	}
	conn.idleDeadline = time.Now().Add(idle)
	c.idle = append(c.idle, conn)
}

// idleTime returns how long the upstream keeps an unused connection, with a
// margin.
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

// answerBody is the body of an answer, which gives the connection back at its
// end.
type responseBody struct {
	io.ReadCloser
	client   *UpstreamClient
	conn     *upstreamConn
	response *http.Response
	// stop keeps the end of the context from closing the connection.
	stopCancel func() bool
	// sent has the result of sending the request once that has ended.
	sendErr chan error
	// reachedEOF is set when the body was read to its end.
	reachedEOF bool
	closeOnce  sync.Once
}

// Read reads the body and notes its end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.reachedEOF = true
	}
	return n, err
}

// Close gives the connection back when the body was read to its end and the
// request was sent whole, and closes it otherwise.
func (b *responseBody) Close() error {
	b.closeOnce.Do(func() {
		mayReuse := b.stopCancel() && b.reachedEOF
		select {
		case err := <-b.sendErr:
			mayReuse = mayReuse && err == nil
		default:
			// The upstream would take what is sent next for the rest of this
			// request's body.
			mayReuse = false
		}
		if mayReuse {
			b.client.putIdle(b.conn, b.response)
		} else {
			_ = b.conn.Close()
		}
	})
	return nil
}
