package call

import "sync"

// inFlightCalls counts the calls in flight. Unlike with a sync.WaitGroup, calls
// may begin while others wait for the end of those before: a stopping node still
// gets calls, which it refuses. It is safe for concurrent use.
type inFlightCalls struct {
	mu    sync.Mutex
	count int
	// none is closed once count is 0; nil while nobody waits for that.
	none chan struct{}
}

// begin counts a call that begins.
func (c *inFlightCalls) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

// end counts a call that ends.
func (c *inFlightCalls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}

// wait blocks until no call is in flight.
func (c *inFlightCalls) wait() {
	<-c.noneInFlight()
}

// noneInFlight returns a channel that is closed once no call is in flight.
func (c *inFlightCalls) noneInFlight() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.none == nil {
		c.none = make(chan struct{})
	}
	none := c.none
	if c.count == 0 {
		close(none)
		c.none = nil
	}
	return none
}
