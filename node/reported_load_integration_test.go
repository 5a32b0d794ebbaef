package node_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// upstreamSlowness returns the slowness that a node knows of its upstream's VM,
// and how many reports it has ignored.
func (c *hostedCluster) upstreamSlowness(n *hostedNode) (slowness float64, invalid int) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, n.admin+"/debug/vars", nil)
	assert.NilError(c.t, err)
	response, err := _hostedCaller.Do(request)
	assert.NilError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	var vars struct {
		Lentilferry struct {
			UpstreamSlowness    float64
			UpstreamLoadInvalid int
		}
	}
	assert.NilError(c.t, json.NewDecoder(response.Body).Decode(&vars))
	return vars.Lentilferry.UpstreamSlowness, vars.Lentilferry.UpstreamLoadInvalid
}

// The load of an upstream that gets no calls must be read with its health, or a
// node believes what was reported with the last answer, long ago. An upstream
// that has reported no load gets no health checks, as it announces itself.
func TestHostedUpstreamLoadIsReadWithHealth(t *testing.T) {
	c := newHostedCluster(t, "v1")
	n := c.nodes[0]
	c.callUntil("the upstream serves", c.serving(1))
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, n.healthChecks.Load(), int64(0))
	usual, slow, odd := "0,0,8,100", "0,0,8,300", "0,0,8,-1"
	n.load.Store(&usual)
	assert.Equal(t, c.call(n, "/batches/1"), http.StatusOK)
	n.load.Store(&slow)
	for end := time.Now().Add(_waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if slowness, _ := c.upstreamSlowness(n); slowness == 3 {
			break
		}
		assert.Assert(t, time.Now().Before(end), "the load is not read")
	}
	n.load.Store(&odd)
	for end := time.Now().Add(_waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if slowness, invalid := c.upstreamSlowness(n); invalid > 0 {
			assert.Assert(t, slowness > 1)
			break
		}
		assert.Assert(t, time.Now().Before(end), "an invalid report is not counted")
	}
}
