package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"lentilferry.example/lentilferry/common/socket"
)

// _idleCheckInterval is the time between checks for connections that were idle
// for too long.
const _idleCheckInterval = time.Second

// _pastDeadline is a read deadline that has passed on any clock.
var _pastDeadline = time.Unix(1, 0)

// idleConns ends the callers' connections that were idle for too long. The
// bound comes from the configuration and may change at any time. It is safe for
// concurrent use.
//
// It doesn't close a connection but sets a read deadline that has passed, on
// which the server closes it. So the goroutine that reads the connection
// decides: a request that it has read before is handled, and one that it reads
// after can't exist.
type idleConns struct {
	mu sync.Mutex
	// idle holds the connections that are idle.
	idle map[net.Conn]*idleConn
	// closedCount is the number of connections that closeExpired has ended, and
	// crossedCount how many of them had a request that the server had read by
	// then, and were kept.
	closedCount, crossedCount uint64
}

// idleConn is the state of an idle connection.
type idleConn struct {
	since time.Time
	// expired is set once the read deadline was set to end the connection.
	expired bool
}

func newIdleConns() *idleConns {
	return &idleConns{idle: make(map[net.Conn]*idleConn)}
}

// ClosedCount returns how many connections were ended for being idle.
func (c *idleConns) ClosedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedCount
}

// CrossedCount returns how many of the ended connections had a request that was
// read just before, and were kept.
func (c *idleConns) CrossedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crossedCount
}

// trackState records the state of a connection. It is called by a server's
// ConnState hook, which runs in the goroutine that reads the connection: for
// http.StateActive after a request's headers were read and before its body is.
func (c *idleConns) trackState(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = &idleConn{since: now}
		return
	}
	if entry, ok := c.idle[conn]; ok && entry.expired && state == http.StateActive {
		c.crossedCount++
		// Fails only on a closed connection, of which no body can be read.
		_ = conn.SetReadDeadline(time.Time{})
	}
	delete(c.idle, conn)
}

// closeExpired ends the connections that were idle for longer than the bound
// and returns how many it ended. A bound of 0 ends none. A connection with an
// unread request is not idle, however busy the server is.
func (c *idleConns) closeExpired(now time.Time, bound time.Duration) int {
	if bound == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, entry := range c.idle {
		if now.Sub(entry.since) <= bound {
			continue
		}
		if state, err := socket.Peek(conn); err == nil && state == socket.Unread {
			continue
		}
		// Set again at each check: the server may have replaced the deadline.
		// Fails only on a closed connection, which the server drops by itself.
		_ = conn.SetReadDeadline(_pastDeadline)
		if !entry.expired {
			entry.expired = true
			closed++
		}
	}
	c.closedCount += uint64(closed)
	return closed
}
