package intake

import (
	"container/list"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/socket"
)

const (
	// _crowdedShare is the part of the connections beyond which the kernel keeps
	// less of what new ones send: one in _crowdedShare.
	_crowdedShare = 8
	// _crowdedReceiveBytes is how much the kernel then keeps of a connection that
	// the process doesn't read. The usual 128 KB for each of 4,100 connections is
	// more than the memory of a small VM.
	_crowdedReceiveBytes = 32 << 10
	// _maxUnsentBytes bounds the unsent bytes that the kernel keeps of a response that
	// the client doesn't read.
	_maxUnsentBytes = 32 << 10
)

// phase is what a connection is used for.
type phase int

// The phases of a connection.
const (
	// _reading means that the header section of a request is incomplete, or that
	// a new connection has sent nothing yet.
	_reading phase = iota
	// _readingBody means that the body of a request of CountMessages is incomplete.
	_readingBody
	// _inUse means that a request was read and its response isn't complete.
	_inUse
	// _idle means that the connection waits for its next request.
	_idle
	// _takenOver means that the server handles the connection no more.
	_takenOver
	// _removed means that the connection is closed, or is about to be.
	_removed
)

// Conn is an accepted connection. The fields below the guard's are guarded by
// its mutex.
type Conn struct {
	net.Conn
	guard   *Guard
	address *address
	// uncounted is set while reads need not be counted.
	uncounted atomic.Bool
	// blockedSince is when the write under way began, in nanoseconds since the start
	// of the guard; 0 if there is none.
	blockedSince atomic.Int64

	phase phase
	// place is the connection's entry in one of the lists of its address, or nil.
	place *list.Element
	// started is the sequence number of the start of the header section.
	started uint64
	// cost is the memory of the header section that is incomplete or in use.
	cost int64
	// charged is the part of the cost that counts against the limit.
	charged int64
	// endedCharge is what the connection held when it was ended, until its server
	// has closed it.
	endedCharge int64
}

var _ syscall.Conn = (*Conn)(nil)

// SyscallConn gives access to the connection's socket. The error says that the
// wrapped connection has none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	wrapped, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is no socket", c.Conn)
	}
	raw, err := wrapped.SyscallConn()
	return raw, errors.Wrap(err, "get socket")
}

// CloseWrite ends the sending direction. A server calls it before it closes a
// connection of which it hasn't read everything, so that the client gets the
// response.
func (c *Conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Newf("%T can't be closed in one direction", c.Conn)
	}
	return errors.Wrap(closer.CloseWrite(), "close sending direction")
}

// Read reads from the connection and counts what belongs to header sections.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.uncounted.Load() && !c.guard.count(c, p[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection and records for how long the client has taken
// nothing.
func (c *Conn) Write(p []byte) (int, error) {
	c.blockedSince.Store(max(1, int64(c.guard.now().Sub(c.guard.started))))
	defer c.blockedSince.Store(0)
	return c.Conn.Write(p)
}

// Close closes the connection and frees its part of the limits.
func (c *Conn) Close() error {
	c.guard.finish(c)
	return c.Conn.Close()
}

// hasNothingUnread reports whether the kernel holds no bytes of the connection
// that the process hasn't read.
func (c *Conn) hasNothingUnread() bool {
	state, err := socket.Peek(c.Conn)
	return err != nil || state != socket.Unread
}

// limitReceived bounds what the kernel keeps of the connection while the
// process doesn't read it.
func (c *Conn) limitReceived() {
	if buffered, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		// Without the bound, the kernel only holds more.
		_ = buffered.SetReadBuffer(_crowdedReceiveBytes)
	}
}

// count counts bytes that were read while a header section is incomplete. It
// returns false if the connection was ended to stay within the limits.
func (g *Guard) count(c *Conn, read []byte) bool {
	g.mu.Lock()
	if c.phase == _removed {
		g.mu.Unlock()
		return false
	}
	if c.phase == _idle {
		g.startReading(c)
	}
	c.cost += HeaderCost(read)
	g.charge(c)
	return g.enforce(c)
}

// enforce ends connections to stay within the limits, and waits until they are
// closed. It returns false if the given one was ended. The caller holds g.mu,
// which enforce unlocks.
func (g *Guard) enforce(c *Conn) bool {
	defer g.mu.Unlock()
	if ended := g.makeRoom(); len(ended) > 0 {
		logLine := g.logLine(c.address, true)
		g.mu.Unlock()
		logLine()
		closeAll(ended)
		g.mu.Lock()
	}
	g.awaitRoom(c)
	return c.phase != _removed
}

// charge updates what a connection holds of the limit. The caller holds g.mu.
func (g *Guard) charge(c *Conn) {
	charged := max(0, c.cost-_freeBytes)
	g.counts.HeaderBytes += charged - c.charged
	c.charged = charged
}

// startReading records the start of a header section. The caller holds g.mu.
func (g *Guard) startReading(c *Conn) {
	g.leave(c)
	g.sequence++
	c.phase, c.started = _reading, g.sequence
	c.place = c.address.reading.PushBack(c)
}

// startUsing records that a request was read. The caller holds g.mu.
func (g *Guard) startUsing(c *Conn) {
	g.leave(c)
	c.phase = _inUse
	c.place = c.address.inUse.PushBack(c)
}

// leave takes a connection out of the collections of its phase. The caller holds
// g.mu.
func (g *Guard) leave(c *Conn) {
	if c.place != nil {
		// It is in one of the lists; the others ignore it.
		c.address.reading.Remove(c.place)
		c.address.idle.Remove(c.place)
		c.address.inUse.Remove(c.place)
		c.place = nil
	}
}

// remove frees what a connection holds of the limits. The caller holds g.mu.
func (g *Guard) remove(c *Conn) {
	if c.phase == _removed {
		return
	}
	g.leave(c)
	c.phase, c.cost = _removed, 0
	g.charge(c)
	g.counts.Open--
	c.address.open--
}

// trackState records a state that the server reports for a connection.
func (g *Guard) trackState(c *Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == _removed {
		return
	}
	switch state {
	case http.StateActive:
		g.startUsing(c)
		c.uncounted.Store(true)
	case http.StateIdle:
		g.leave(c)
		c.phase, c.cost = _idle, 0
		c.place = c.address.idle.PushBack(c)
		c.uncounted.Store(false)
	case http.StateHijacked:
		g.leave(c)
		c.phase = _takenOver
		c.uncounted.Store(true)
	case http.StateNew, http.StateClosed:
		// Recorded by Accept, trackReturn and Close.
	}
	g.charge(c)
}

// trackReturn records that a server serves a connection that was taken over from
// it before, as a new one. unread is what has been read of the connection and not
// been served. The next read that counts ends connections if that is too much.
func (g *Guard) trackReturn(c *Conn, unread []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == _removed || c.phase == _reading {
		return
	}
	c.cost = HeaderCost(unread)
	g.startReading(c)
	c.uncounted.Store(false)
	g.charge(c)
}
