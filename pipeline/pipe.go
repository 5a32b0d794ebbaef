package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/socket"
)

const (
	// _closeWait is how long a connection is kept after its last response, and
	// _closeBytes how much is read of it meanwhile. Closing a connection of which
	// received bytes are unread destroys a response that is under way.
	_closeWait  = 500 * time.Millisecond
	_closeBytes = 256 << 10
	// _leaveCheckInterval is the time between checks whether the caller has left
	// while the connection is not read.
	_leaveCheckInterval = 100 * time.Millisecond
)

// _pastDeadline is a read deadline that has passed on any clock.
var _pastDeadline = time.Unix(1, 0)

// pipe is a connection that was taken over. Its goroutine reads requests and
// begins them. Handlers write their responses, or hold them until those before
// them were sent.
type pipe struct {
	server *Server
	conn   *Conn
	// out is used by the response whose turn it is.
	out *bufio.Writer
	// hijacked is the reader of the http.Server, which is empty.
	hijacked *bufio.Reader
	// in holds what was read and not begun. Only the goroutine of the pipe uses
	// it and the fields up to mu.
	in     []byte
	parser *bufio.Reader
	// buffer is the memory of in once more was read; nil before.
	buffer []byte
	// next is the next request if it has arrived and may be handled at the same
	// time as others, nextBytes its length, and nextCost what is reserved of the
	// budget for it. All are the zero value otherwise.
	next                *http.Request
	nextBytes, nextCost int
	// mustWait is set when the next request is left to the http.Server.
	mustWait bool
	// blankBytes is how many bytes of empty lines may come before the next request.
	blankBytes int
	// readEnded is set when nothing more is read.
	readEnded bool

	// changed has an element once hasChanged was set while the connection was not
	// read.
	changed chan struct{}

	mu sync.Mutex
	// queue holds the responses that were not sent, in the order of requests. The
	// first one's turn it is.
	queue []*response
	// isLast is set when no further request may be begun, since a response closes
	// the connection.
	isLast bool
	// isBroken is set when no response can be sent anymore. isCutOff is set when none
	// is sent anymore, since one is broken.
	isBroken, isCutOff bool
	// isReading is set while the connection is read, and wantsPlace while a
	// request waits for room in the queue.
	isReading, wantsPlace bool
	// hasChanged is set by signal until the goroutine of the pipe has to look again.
	hasChanged bool
}

func newPipe(server *Server, conn *Conn, hijacked *bufio.ReadWriter, in []byte) *pipe {
	return &pipe{server: server, conn: conn, out: hijacked.Writer, hijacked: hijacked.Reader, in: in, parser: bufio.NewReader(nil), changed: make(chan struct{}, 1)}
}

// adopt makes the response to the first request that of the pipe.
func (p *pipe) adopt(r *http.Request, header http.Header) *response {
	first := newResponse(p, r, header, func() {})
	p.queue = []*response{first}
	p.allowBlanks(r)
	first.begin()
	return first
}

// run serves the connection until all responses were sent and no request has
// arrived that may be begun.
func (p *pipe) run() {
	p.server.deps.Logger.V(1).Info("Took over pipelined connection", "caller", p.conn.RemoteAddr().String(), "bytesAhead", len(p.in))
	for {
		p.findNext()
		switch p.decide() {
		case _begin:
			p.begin()
		case _wait:
			p.wait()
		case _end:
			p.end()
			return
		}
	}
}

// action is what the goroutine of a pipe does next.
type action int

const (
	_begin action = iota + 1
	_wait
	_end
)

func (p *pipe) decide() action {
	p.mu.Lock()
	defer p.mu.Unlock()
	mayBegin := p.next != nil && !p.isLast && !p.isBroken
	p.wantsPlace = mayBegin && len(p.queue) >= p.server.deps.Depth
	switch {
	case mayBegin && !p.wantsPlace:
		return _begin
	case len(p.queue) == 0:
		return _end
	default:
		return _wait
	}
}

// begin handles the next request in a goroutine of its own.
func (p *pipe) begin() {
	request, cost := p.next, p.nextCost
	p.in = p.in[p.nextBytes:]
	p.next, p.nextBytes, p.nextCost = nil, 0, 0
	p.allowBlanks(request)
	ctx, cancel := context.WithCancel(p.conn.baseContext)
	request = request.WithContext(ctx)
	r := newResponse(p, request, make(http.Header), cancel)
	r.requestCost = cost
	p.mu.Lock()
	if p.isLast || p.isBroken {
		p.mu.Unlock()
		p.server.deps.Budget.Release(cost)
		cancel()
		return
	}
	p.queue = append(p.queue, r)
	isFirst := len(p.queue) == 1
	p.mu.Unlock()
	if isFirst {
		r.begin()
	} else {
		p.server.aheadCount.Add(1)
	}
	go p.handle(r)
}

func (p *pipe) handle(r *response) {
	defer func() {
		if recovered := recover(); recovered != nil {
			p.server.logPanic(r.request, recovered)
			r.abort()
		}
	}()
	p.server.next.ServeHTTP(r, r.request)
	r.finish()
}

// wait reads more, or waits until a response was sent where nothing may be read.
// Either notices a caller that closes its connection.
func (p *pipe) wait() {
	if p.readEnded || len(p.in) >= _aheadBytes {
		select {
		case <-p.changed:
		case <-time.After(_leaveCheckInterval):
			if socket.HasPeerClosed(p.conn) {
				p.fail()
			}
		}
		return
	}
	if p.beginRead() {
		p.read()
	}
}

// beginRead makes signal interrupt the next read. It returns false if it has been
// called since the goroutine of the pipe looked last.
func (p *pipe) beginRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasChanged {
		p.hasChanged = false
		return false
	}
	p.isReading = true
	// Fails only on a closed connection, which the read notices.
	_ = p.conn.SetReadDeadline(time.Time{})
	return true
}

// read reads more from the connection.
func (p *pipe) read() {
	if p.buffer == nil {
		p.buffer = make([]byte, _aheadBytes)
	}
	p.in = p.buffer[:copy(p.buffer, p.in)]
	n, err := p.conn.Conn.Read(p.buffer[len(p.in):])
	p.in = p.in[:len(p.in)+max(0, n)]
	p.mu.Lock()
	p.isReading = false
	wasWoken := p.hasChanged
	p.hasChanged = false
	p.mu.Unlock()
	switch {
	case err == nil || wasWoken && errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The owner of the connection has ended its use. What was begun is
		// answered.
		p.readEnded = true
		p.stopTaking()
	default:
		p.readEnded = true
		p.fail()
	}
}

// signal makes the goroutine of the pipe look again. The caller holds p.mu.
func (p *pipe) signal() {
	p.hasChanged = true
	if p.isReading {
		_ = p.conn.SetReadDeadline(_pastDeadline)
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// stopTaking makes the last request that was begun the last of the connection.
func (p *pipe) stopTaking() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isLast = true
}

// mustClose reports whether a response is the last of the connection.
func (p *pipe) mustClose(r *response) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isLast && p.queue[len(p.queue)-1] == r
}

// cancelAfter cancels the requests behind one whose response is broken, and
// begins no others.
func (p *pipe) cancelAfter(broken *response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isLast = true
	isAfter := false
	for _, r := range p.queue {
		if isAfter {
			r.cancel()
		}
		isAfter = isAfter || r == broken
	}
}

// fail closes the connection and cancels all its requests.
func (p *pipe) fail() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isBroken = true
	for _, r := range p.queue {
		r.cancel()
	}
	_ = p.conn.Close()
	// The http.Server cancels the first request when a read fails.
	_, _ = p.hijacked.ReadByte()
}

// cutOff ends the sending side behind the responses that were sent, and has the
// connection closed once the handlers have returned. The caller is the one whose
// turn it is.
func (p *pipe) cutOff() {
	p.out.Reset(endedWriter{})
	p.mu.Lock()
	p.isLast, p.isCutOff = true, true
	p.mu.Unlock()
	if p.conn.CloseWrite() != nil {
		p.fail()
	}
}

// endedWriter is what a pipe writes to after cutOff.
type endedWriter struct{}

func (endedWriter) Write([]byte) (int, error) { return 0, errBroken }

// failWrite ends the connection after a write has failed.
func (p *pipe) failWrite() {
	p.mu.Lock()
	isCutOff := p.isCutOff
	p.mu.Unlock()
	if !isCutOff {
		p.fail()
	}
}

// advance passes the turn on after the first response was written.
func (p *pipe) advance() {
	for {
		if !p.isSecondFinished() && p.out.Flush() != nil {
			p.failWrite()
		}
		next := p.removeFirst()
		if next == nil || !next.begin() {
			return
		}
	}
}

func (p *pipe) isSecondFinished() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 1 && p.queue[1].isDone.Load()
}

// removeFirst removes the first response and returns the one behind it; nil if
// there is none.
func (p *pipe) removeFirst() *response {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server.deps.Budget.Release(p.queue[0].requestCost)
	p.queue[0] = nil
	p.queue = p.queue[1:]
	if len(p.queue) == 0 || p.wantsPlace {
		p.signal()
	}
	if len(p.queue) == 0 {
		return nil
	}
	return p.queue[0]
}

// end closes the connection or gives it back to the http.Server, after all
// responses were sent.
func (p *pipe) end() {
	defer p.server.remove(p)
	p.server.deps.Budget.Release(_pipeBytes + p.nextCost)
	p.mu.Lock()
	isBroken, isLast := p.isBroken, p.isLast
	p.mu.Unlock()
	switch {
	case isBroken:
		p.close()
	case isLast:
		p.closeGently()
	case len(p.in) > 0 || p.awaitRequest():
		p.giveBack()
	default:
		p.close()
	}
}

// awaitRequest waits for the next request of an unused connection, and returns
// false if the connection has ended.
func (p *pipe) awaitRequest() bool {
	p.in, p.buffer, p.parser = nil, nil, nil
	p.server.setState(p.conn, http.StateIdle)
	_ = p.conn.SetReadDeadline(p.server.idleDeadline(time.Now()))
	var first [1]byte
	for len(p.in) == 0 {
		n, _ := p.conn.Conn.Read(first[:])
		if n < 1 {
			return false
		}
		p.in = first[:]
		p.skipBlanks()
	}
	p.server.setState(p.conn, http.StateActive)
	return true
}

// giveBack returns the connection with what was read to the http.Server.
func (p *pipe) giveBack() {
	_ = p.conn.SetDeadline(time.Time{})
	p.conn.reset(bytes.Clone(p.in))
	if !p.server.listener.giveBack(p.conn) {
		p.close()
	}
}

func (p *pipe) close() {
	_ = p.conn.Close()
	p.server.setState(p.conn, http.StateClosed)
}

// closeGently closes the connection after the caller could read its last
// response.
func (p *pipe) closeGently() {
	if p.conn.CloseWrite() == nil {
		_ = p.conn.SetReadDeadline(time.Now().Add(_closeWait))
		_, _ = io.CopyN(io.Discard, readerOf(p.conn.Conn), _closeBytes)
	}
	p.close()
}

// readerOf hides all methods but Read, so that io.CopyN doesn't use others.
func readerOf(conn net.Conn) io.Reader { return struct{ io.Reader }{conn} }
