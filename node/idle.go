package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// _idleCheckInterval is the time between checks for connections that were idle
// for too long.
const _idleCheckInterval = time.Second

// idleConns closes the callers' connections that were idle for too long. The
// bound comes from the configuration and may change at any time. It is safe for
// concurrent use.
type idleConns struct {
	mu sync.Mutex
	// idleSince holds the time at which each idle connection became idle.
	idleSince map[net.Conn]time.Time
	// expired holds the connections that closeExpired has closed, until the
	// server has ended them too.
	expired map[net.Conn]struct{}
	// closedCount is the number of connections that closeExpired has closed, and
	// crossedCount how many of them had a request that the server had read by
	// then.
	closedCount, crossedCount uint64
}

func newIdleConns() *idleConns {
	return &idleConns{idleSince: make(map[net.Conn]time.Time), expired: make(map[net.Conn]struct{})}
}

// ClosedCount returns how many connections were closed for being idle.
func (c *idleConns) ClosedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedCount
}

// CrossedCount returns how many requests were read from a connection that was
// closed for being idle before they were handled.
func (c *idleConns) CrossedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crossedCount
}

// trackState records the state of a connection. It is called by a server's
// ConnState hook.
func (c *idleConns) trackState(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = now
		return
	}
	delete(c.idleSince, conn)
	if _, ok := c.expired[conn]; ok {
		if state == http.StateActive {
			c.crossedCount++
		}
		delete(c.expired, conn)
	}
}

// closeExpired closes the connections that were idle for longer than the bound
// and returns how many it closed. A bound of 0 closes none.
func (c *idleConns) closeExpired(now time.Time, bound time.Duration) int {
	if bound == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, since := range c.idleSince {
		if now.Sub(since) > bound {
			_ = conn.Close()
			delete(c.idleSince, conn)
			c.expired[conn] = struct{}{}
			closed++
		}
	}
	c.closedCount += uint64(closed)
	return closed
}
