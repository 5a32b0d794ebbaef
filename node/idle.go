package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// _idleCheckInterval is how often unused connections are looked through.
const _idleCheckInterval = time.Second

// idleConns closes the connections of callers that were unused for too long.
// The bound is the configuration's and may change at any time. It is safe for
// concurrent use.
type idleConns struct {
	mu sync.Mutex
	// idleSince holds when each unused connection was last used.
	idleSince map[net.Conn]time.Time
}

func newIdleConns() *idleConns {
	return &idleConns{idleSince: make(map[net.Conn]time.Time)}
}

// trackState follows a connection; it is a server's ConnState hook.
func (c *idleConns) trackState(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = now
		return
	}
	delete(c.idleSince, conn)
}

// closeExpired closes the connections that were unused for longer than the bound and
// returns how many. A bound of 0 closes none.
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
