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
	// since holds when each unused connection was last used.
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns {
	return &idleConns{since: make(map[net.Conn]time.Time)}
}

// note follows a connection; it is a server's ConnState hook.
func (c *idleConns) note(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.since[conn] = now
		return
	}
	delete(c.since, conn)
}

// sweep closes the connections that were unused for longer than the bound and
// returns how many. A bound of 0 closes none.
func (c *idleConns) sweep(now time.Time, bound time.Duration) int {
	if bound == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, since := range c.since {
		if now.Sub(since) > bound {
			_ = conn.Close()
			delete(c.since, conn)
			closed++
		}
	}
	return closed
}
