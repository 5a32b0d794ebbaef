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
}

func newIdleConns() *idleConns {
	return &idleConns{idleSince: make(map[net.Conn]time.Time)}
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
			closed++
		}
	}
	return closed
}
