package pipeline

import (
	"bytes"
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

var (
	// _headEnd ends a header section.
	_headEnd = []byte("\r\n\r\n")
	// _http2Preface begins a connection that carries HTTP/2.
	_http2Preface = []byte("PRI ")
)

// _headTailBytes is how many bytes of _headEnd can lie in an earlier read.
const _headTailBytes = 3

// Conn is a connection that tells whether more has arrived than the request that
// the server handles. Each Read ends at the end of a header section, if not
// before, so that what follows it stays in the Conn, not in a buffer of the server.
type Conn struct {
	net.Conn

	// baseContext is the parent of the contexts of requests, which outlives the
	// server's own use of the connection. It is set before the first request.
	baseContext context.Context //nolint:containedctx // It has the lifetime of the connection.

	mu sync.Mutex
	// unread was received and not returned by Read yet.
	unread []byte
	// buffer is the memory of unread if that comes from _buffers; nil otherwise.
	buffer *[_bufferBytes]byte
	// tail holds the last bytes that Read returned, as far as they belong to a
	// header section that has not ended.
	tail []byte
	// tailBytes is the memory of tail.
	tailBytes [2 * _headTailBytes]byte
	// atHeadEnd is set while what Read has returned ends with a header section or
	// with a body of known length.
	atHeadEnd bool
	// bodyBytes is how many bytes belong to a body of known length. isStream is set
	// during a body of unknown length. Bodies aren't searched for header sections.
	bodyBytes int64
	isStream  bool
	// hasBegun is set by the first bytes.
	hasBegun bool
	// isHTTP2 is set for a connection with the preface of HTTP/2, whose data is
	// passed on as it arrives.
	isHTTP2 bool
	// watcher takes the connection over when bytes are returned; nil if nobody waits
	// for them.
	watcher *firstRequest
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Read reads from the connection, at most to the end of a header section.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.unread) > 0 && len(p) > 0 {
		defer c.mu.Unlock()
		n := c.deliver(c.unread[:min(len(p), len(c.unread))])
		copy(p, c.unread[:n])
		if c.unread = c.unread[n:]; len(c.unread) == 0 {
			c.unread = nil
			c.freeBuffer()
		}
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err //nolint:wrapcheck // The server tells errors of connections apart.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delivered := c.deliver(p[:n])
	if delivered < n {
		// The error comes back at the next read of the connection.
		c.keep(p[delivered:n])
		err = nil
	}
	return delivered, err //nolint:wrapcheck // As above.
}

// _buffers holds *[_bufferBytes]byte, of which unread is a part.
var _buffers = sync.Pool{New: func() any { return new([_bufferBytes]byte) }}

// _bufferBytes is how much an http.Server reads at once.
const _bufferBytes = 4 << 10

// keep makes a copy of p what was not returned yet. The caller holds c.mu.
func (c *Conn) keep(p []byte) {
	if len(p) > _bufferBytes {
		c.unread = bytes.Clone(p)
		return
	}
	buffer, ok := _buffers.Get().(*[_bufferBytes]byte)
	if !ok {
		panic("pipeline: pool of buffers returned an unexpected type")
	}
	c.buffer = buffer
	c.unread = buffer[:copy(buffer[:], p)]
}

// freeBuffer returns the memory of unread, which is not used anymore. The caller
// holds c.mu.
func (c *Conn) freeBuffer() {
	if c.buffer != nil {
		_buffers.Put(c.buffer)
		c.buffer = nil
	}
}

// deliver records that bytes are returned by Read, and returns how many of them
// may be. The caller holds c.mu.
func (c *Conn) deliver(p []byte) int {
	if !c.hasBegun {
		c.hasBegun, c.isHTTP2 = true, bytes.HasPrefix(p, _http2Preface)
	}
	if c.isHTTP2 {
		return len(p)
	}
	if c.watcher != nil {
		go c.watcher.takeOver()
		c.watcher = nil
	}
	if c.bodyBytes > 0 {
		n := int(min(int64(len(p)), c.bodyBytes))
		c.bodyBytes -= int64(n)
		c.atHeadEnd = c.bodyBytes == 0
		return n
	}
	if c.isStream {
		c.atHeadEnd, c.tail = false, c.tailBytes[:0]
		return len(p)
	}
	n, found := c.findHeadEnd(p)
	c.atHeadEnd = found
	c.updateTail(p[:n], found)
	return n
}

// findHeadEnd returns how many bytes there are up to the end of the header
// section, and whether it ends there.
func (c *Conn) findHeadEnd(p []byte) (int, bool) {
	if len(c.tail) > 0 {
		joined := append(c.tail, p[:min(len(p), _headTailBytes)]...) //nolint:gocritic // tailBytes has room for both.
		if i := bytes.Index(joined, _headEnd); i >= 0 {
			return i + len(_headEnd) - len(c.tail), true
		}
	}
	if i := bytes.Index(p, _headEnd); i >= 0 {
		return i + len(_headEnd), true
	}
	return len(p), false
}

func (c *Conn) updateTail(p []byte, ended bool) {
	switch {
	case ended:
		c.tail = c.tailBytes[:0]
	case len(p) >= _headTailBytes:
		c.tail = append(c.tailBytes[:0], p[len(p)-_headTailBytes:]...)
	default:
		joined := append(c.tail, p...) //nolint:gocritic // tailBytes has room for both.
		c.tail = append(c.tailBytes[:0], joined[max(0, len(joined)-_headTailBytes):]...)
	}
}

// Buffered returns how many bytes were received that Read has not returned yet.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread)
}

// Unread returns a copy of the bytes that were received and that Read has not
// returned yet.
func (c *Conn) Unread() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Clone(c.unread)
}

// expectBody announces a body of n bytes behind the header section that Read has
// returned last. It returns false unless all of it has been received.
func (c *Conn) expectBody(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.atHeadEnd || int64(len(c.unread)) < n {
		return false
	}
	c.bodyBytes = n
	return true
}

// passBody announces a body of n bytes, -1 if unknown, behind the header section
// that Read has returned last. One of unknown length lasts until endStream.
func (c *Conn) passBody(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n < 0:
		c.isStream = true
	case c.atHeadEnd:
		c.bodyBytes = n
	}
}

// endStream ends a body of unknown length. What Read has returned may then hold
// further requests.
func (c *Conn) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStream = false
}

// watch makes the request take the connection over in a goroutine of its own, once
// more bytes were received. If there are some already, watch returns false and
// doesn't.
func (c *Conn) watch(f *firstRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unread) > 0 || !c.atHeadEnd {
		return false
	}
	c.watcher = f
	return true
}

// unwatch ends watch.
func (c *Conn) unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watcher = nil
}

// take returns the bytes that Read has not returned, and removes them.
func (c *Conn) take() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread := bytes.Clone(c.unread)
	c.unread = nil
	c.freeBuffer()
	return unread
}

// reset makes the connection one that has received the given bytes and returned
// none yet.
func (c *Conn) reset(unread []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread, c.tail = unread, c.tailBytes[:0]
	c.atHeadEnd, c.hasBegun, c.isStream, c.bodyBytes, c.watcher = false, false, false, 0, nil
}

// SyscallConn returns the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is no socket", c.Conn)
	}
	raw, err := socket.SyscallConn()
	return raw, errors.Wrap(err, "get socket")
}

// CloseWrite ends the sending side, as the server does before it closes a
// connection of which it has not read all.
func (c *Conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Newf("%T can't end its sending side", c.Conn)
	}
	return errors.Wrap(closer.CloseWrite(), "end sending side")
}
