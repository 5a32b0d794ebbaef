package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"lentilferry.example/lentilferry/common/socket"
)

const (
	// _idleCheckInterval is the time between checks for connections that were
	// idle for too long.
	_idleCheckInterval = time.Second
	// _drainCheckInterval is the time between checks whether a stopping node has
	// answered all that it has read.
	_drainCheckInterval = 5 * time.Millisecond
)

// _pastDeadline is a read deadline that has passed on any clock.
var _pastDeadline = time.Unix(1, 0)

// callerConns tracks a server's connections, and ends those that are not in
// use. It is safe for concurrent use.
//
// It doesn't close a connection but sets a read deadline that has passed, on
// which the server closes it. So the goroutine that reads the connection
// decides, and a request that it has read before is handled.
type callerConns struct {
	mu sync.Mutex
	// open holds the connections that the server has not closed.
	open map[net.Conn]*callerConn
	// closedCount is the number of connections that closeExpired has ended, and
	// crossedCount how many connections had a request when they were ended.
	closedCount, crossedCount uint64
}

// callerConn is the state of a connection.
type callerConn struct {
	// inUse is set from when a request's headers were read until its response
	// was sent.
	inUse bool
	// hasResponded is set once a response was sent.
	hasResponded bool
	// since is when the connection was last put out of use.
	since time.Time
	// ended is set once the read deadline was set to end the connection.
	ended bool
}

func newCallerConns() *callerConns {
	return &callerConns{open: make(map[net.Conn]*callerConn)}
}

// ClosedCount returns how many connections were ended for being idle.
func (c *callerConns) ClosedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedCount
}

// CrossedCount returns how many connections had a request when they were ended.
func (c *callerConns) CrossedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crossedCount
}

// trackState records the state of a connection. It is called by a server's
// ConnState hook, which runs in the goroutine that reads the connection: for
// http.StateActive after a request's headers were read and before its body is.
func (c *callerConns) trackState(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = &callerConn{since: now}
	case http.StateIdle:
		c.open[conn] = &callerConn{since: now, hasResponded: true}
	case http.StateActive:
		entry, ok := c.open[conn]
		if ok && entry.ended {
			c.crossedCount++
			// Fails only on a closed connection, of which no body can be read.
			_ = conn.SetReadDeadline(time.Time{})
		}
		c.open[conn] = &callerConn{inUse: true}
	default:
		delete(c.open, conn)
	}
}

// closeExpired ends the connections that were idle for longer than the bound
// and returns how many it ended. A bound of 0 ends none.
func (c *callerConns) closeExpired(now time.Time, bound time.Duration) int {
	if bound == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, entry := range c.open {
		if entry.hasResponded && now.Sub(entry.since) > bound && entry.end(conn) {
			closed++
		}
	}
	c.closedCount += uint64(closed)
	return closed
}

// end ends a connection that is not in use, and reports whether it was not
// ended before. A connection with an unread request is in use, however busy the
// server is.
func (e *callerConn) end(conn net.Conn) bool {
	if e.inUse {
		return false
	}
	if buffered, ok := conn.(interface{ Buffered() int }); ok && buffered.Buffered() > 0 {
		return false
	}
	if state, err := socket.Peek(conn); err == nil && state == socket.Unread {
		return false
	}
	// Set again at each check: the server may have replaced the deadline. Fails
	// only on a closed connection, which the server drops by itself.
	_ = conn.SetReadDeadline(_pastDeadline)
	first := !e.ended
	e.ended = true
	return first
}

// endUnused ends the connections that are not in use and returns how many are
// open.
func (c *callerConns) endUnused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, entry := range c.open {
		entry.end(conn)
	}
	return len(c.open)
}

// stopReading ends the reading of requests whose bodies have not arrived: their
// handlers wait for the bodies, and the server reads the rest of a body before
// it sends the response.
func (c *callerConns) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, entry := range c.open {
		if entry.inUse {
			// Fails only on a closed connection.
			_ = conn.SetReadDeadline(_pastDeadline)
		}
	}
}

// drain ends each connection once its response was sent, until none is left or
// the context ends.
func (c *callerConns) drain(ctx context.Context) {
	for c.endUnused() > 0 && ctx.Err() == nil {
		sleep(ctx, _drainCheckInterval)
	}
}
