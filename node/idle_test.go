package node

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A connection is closed once it was idle for longer than the configured bound,
// not earlier, and never while it is in use.
func TestIdleConnectionsAreClosed(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	c := newIdleConns()
	used, other := net.Pipe()
	defer func() { _, _ = used.Close(), other.Close() }()
	c.trackState(start, used, http.StateNew)
	c.trackState(start, used, http.StateActive)
	assert.Equal(t, c.closeExpired(start.Add(time.Hour), 15*time.Second), 0)
	c.trackState(start, used, http.StateIdle)
	assert.Equal(t, c.closeExpired(start.Add(15*time.Second), 15*time.Second), 0)
	assert.Equal(t, c.closeExpired(start.Add(time.Hour), 0), 0)
	c.trackState(start.Add(10*time.Second), used, http.StateActive)
	c.trackState(start.Add(12*time.Second), used, http.StateIdle)
	assert.Equal(t, c.closeExpired(start.Add(16*time.Second), 15*time.Second), 0)
	assert.Equal(t, c.closeExpired(start.Add(28*time.Second), 15*time.Second), 1)
	_, err := used.Write([]byte("x"))
	assert.Assert(t, err != nil)
}
