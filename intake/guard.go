package intake

import (
	"container/list"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/common/socket"
)

// _logInterval is the least time between two log lines.
const _logInterval = 10 * time.Second

// Counts are what a Guard has counted so far.
type Counts struct {
	// Open is the number of open connections, and HeaderBytes what their header
	// sections and messages hold of the limit.
	Open        int
	HeaderBytes int64
	// EndedForHeaders is how many connections were ended because header sections
	// and messages held more than the limit.
	EndedForHeaders uint64
	// EndedForOthers is how many connections were ended for new ones.
	EndedForOthers uint64
	// Refused is how many connections were closed when they were accepted.
	Refused uint64
}

// Guard enforces Limits on the connections of the servers that Protect was
// called for. When header sections and messages hold more than the limit, it ends the
// connections whose request has been incomplete the longest, else those whose client
// has taken nothing of its response for the longest time. It is safe for concurrent
// use.
type Guard struct {
	limits Limits
	logger klog.Logger
	now    func() time.Time
	// started is when the guard was created.
	started time.Time

	mu        sync.Mutex
	addresses []*address
	// ending is what ended connections hold that their servers have not closed
	// yet, and closed wakes those that wait for it.
	ending int64
	closed *sync.Cond
	// sequence numbers the starts of header sections.
	sequence uint64
	counts   Counts
	// loggedAt is when the last line was logged.
	loggedAt time.Time
}

// address is the part of a Guard that belongs to one server.
type address struct {
	name string
	// reserved is how many connections other addresses leave to this one.
	reserved int
	open     int
	// reading holds the connections with an incomplete header section or body in
	// the order of its start, idle those that wait for their next request in the
	// order in which they began to, and inUse those whose request was read. The
	// values are *Conn.
	reading, idle, inUse *list.List
}

// New returns a guard without servers.
func New(limits Limits, logger klog.Logger, now func() time.Time) *Guard {
	g := &Guard{limits: limits, logger: logger, now: now, started: now()}
	g.closed = sync.NewCond(&g.mu)
	return g
}

// Protect makes the guard watch the connections of a server, and returns the
// listener that the server must serve in place of the given one. Hooks of the
// server that are set later must call those that Protect has set. A share of
// the limit on connections is reserved for the address. If the server serves
// another listener that wraps the returned one, its connections must have a
// method NetConn that returns the wrapped connection. A connection that was taken
// over from the server may be served by it again, with its state http.StateNew; a
// method Unread of it returns the bytes that were read and not served.
//
// The server then serves HTTP/1 only: what a client of HTTP/2 makes a server hold
// can't be told from the bytes that are read of its connection.
func (g *Guard) Protect(name string, server *http.Server, listener net.Listener, share float64) net.Listener {
	a := &address{name: name, reserved: int(share * float64(g.limits.Conns)), reading: list.New(), idle: list.New(), inUse: list.New()}
	g.mu.Lock()
	g.addresses = append(g.addresses, a)
	g.mu.Unlock()
	g.hook(server)
	return &guardedListener{Listener: listener, guard: g, address: a}
}

// Counts returns what was counted so far.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// guardedListener accepts connections for which there is room.
type guardedListener struct {
	net.Listener
	guard   *Guard
	address *address
}

// Accept returns the next connection for which there is room, as a *Conn. It
// closes the others.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// Without the bound, the kernel only keeps more.
		_ = socket.LimitUnsent(accepted, _maxUnsentBytes)
		conn := &Conn{Conn: accepted, guard: l.guard, address: l.address}
		if l.guard.admit(conn) {
			return conn, nil
		}
		_ = accepted.Close()
	}
}

// admit adds a connection, and ends another one of the same address if there is
// no room. It returns false if there is none to end.
func (g *Guard) admit(c *Conn) bool {
	var ended []*Conn
	g.mu.Lock()
	ok := true
	if g.isFull(c.address) {
		if victim := c.address.oldest(g.now().Sub(g.started)); victim != nil {
			g.remove(victim)
			ended = append(ended, victim)
			g.counts.EndedForOthers++
		} else {
			ok = false
			g.counts.Refused++
		}
	}
	if ok {
		g.counts.Open++
		c.address.open++
		g.startReading(c)
	}
	crowded := g.counts.Open > g.limits.Conns/_crowdedShare
	logLine := g.logLine(c.address, !ok || len(ended) > 0)
	g.mu.Unlock()
	logLine()
	closeAll(ended)
	if ok && crowded {
		c.limitReceived()
	}
	return ok
}

// isFull reports whether an address may have no further connection: all
// together, and what is reserved for other addresses, reach the limit.
func (g *Guard) isFull(a *address) bool {
	taken := a.open
	for _, other := range g.addresses {
		if other != a {
			taken += max(other.open, other.reserved)
		}
	}
	return taken >= g.limits.Conns && a.open >= a.reserved
}

// _minBlocked is how long a client must have taken nothing of a response before its
// connection may be ended for a new one.
const _minBlocked = time.Second

// oldest returns the connection to end for a new one, or nil: the one whose request
// has been incomplete the longest, else the one that has waited the longest for its
// next request, else the one whose client has taken nothing of its response for the
// longest time. elapsed is the time since the start of the guard.
func (a *address) oldest(elapsed time.Duration) *Conn {
	for _, conns := range []*list.List{a.reading, a.idle} {
		for e := conns.Front(); e != nil; e = e.Next() {
			if c, ok := e.Value.(*Conn); ok && (conns == a.reading || c.hasNothingUnread()) {
				return c
			}
		}
	}
	longest, blocked := a.longestBlocked(func(*Conn) bool { return true })
	if longest == nil || time.Duration(blocked) > elapsed-_minBlocked {
		return nil
	}
	return longest
}

// longestBlocked returns the connection for which isEligible holds whose client has
// taken nothing of its response for the longest time, or nil, and since when.
func (a *address) longestBlocked(isEligible func(*Conn) bool) (longest *Conn, since int64) {
	since = math.MaxInt64
	for e := a.inUse.Front(); e != nil; e = e.Next() {
		c, ok := e.Value.(*Conn)
		if blocked := c.blockedSince.Load(); ok && blocked > 0 && blocked < since && isEligible(c) {
			longest, since = c, blocked
		}
	}
	return longest, since
}

// makeRoom ends connections until header sections and messages hold no more than the
// limit, and returns those that the caller must close. The caller holds g.mu.
func (g *Guard) makeRoom() []*Conn {
	var ended []*Conn
	for g.counts.HeaderBytes > g.limits.HeaderBytes {
		victim := g.longestReading()
		if victim == nil {
			victim = g.longestBlocked()
		}
		if victim == nil {
			break
		}
		victim.endedCharge = victim.charged
		g.ending += victim.charged
		g.remove(victim)
		ended = append(ended, victim)
		g.counts.EndedForHeaders++
	}
	if len(ended) > 0 {
		// One of them may wait.
		g.closed.Broadcast()
	}
	return ended
}

// awaitRoom waits until the servers have closed so many of the ended connections
// that their memory and that of the others is within the limit. The caller holds
// g.mu.
func (g *Guard) awaitRoom(c *Conn) {
	for c.phase != _removed && c.charged > 0 && g.ending > 0 && g.counts.HeaderBytes+g.ending > g.limits.HeaderBytes {
		g.closed.Wait()
	}
}

// finish frees what an ended connection held, once its server has closed it.
func (g *Guard) finish(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
	if c.endedCharge > 0 {
		g.ending -= c.endedCharge
		c.endedCharge = 0
		g.closed.Broadcast()
	}
}

// longestReading returns the connection whose request has been incomplete the
// longest, of those that count against the limit, or nil. The
// caller holds g.mu.
func (g *Guard) longestReading() *Conn {
	var longest *Conn
	for _, a := range g.addresses {
		for e := a.reading.Front(); e != nil; e = e.Next() {
			c, ok := e.Value.(*Conn)
			if ok && c.charged > 0 {
				if longest == nil || c.started < longest.started {
					longest = c
				}
				break
			}
		}
	}
	return longest
}

// longestBlocked returns the connection whose client has taken nothing of its
// response for the longest time, of those that count against the limit, or nil. The
// caller holds g.mu.
func (g *Guard) longestBlocked() *Conn {
	var longest *Conn
	since := int64(math.MaxInt64)
	for _, a := range g.addresses {
		if c, blocked := a.longestBlocked(func(c *Conn) bool { return c.charged > 0 }); blocked < since {
			longest, since = c, blocked
		}
	}
	return longest
}

// logLine returns a function that logs that connections were ended or refused,
// or one that does nothing if none was or a line was logged a short while ago.
// The caller holds g.mu, and calls the function without it.
func (g *Guard) logLine(a *address, happened bool) func() {
	if !happened {
		return func() {}
	}
	now := g.now()
	if now.Sub(g.loggedAt) < _logInterval {
		return func() {}
	}
	g.loggedAt = now
	counts, name := g.counts, a.name
	return func() {
		g.logger.Info("Ended connections to stay within limits", "address", name,
			"open", counts.Open, "headerBytes", counts.HeaderBytes, "endedForHeaders", counts.EndedForHeaders,
			"endedForOthers", counts.EndedForOthers, "refused", counts.Refused)
	}
}

// closeAll closes connections that the guard has removed. Their servers find
// them closed at the next read, and then call Close.
func closeAll(conns []*Conn) {
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}
