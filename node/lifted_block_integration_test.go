package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
)

// operatorClient returns a client of a node's operator API.
func (c *hostedCluster) operatorClient(n *hostedNode) lentilferryv1connect.OperatorServiceClient {
	transport := &http.Transport{}
	c.t.Cleanup(transport.CloseIdleConnections)
	return lentilferryv1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, n.admin)
}

// blockedCall returns the only call that a node has on record, nil if there is
// none.
func (c *hostedCluster) blockedCall(client lentilferryv1connect.OperatorServiceClient) *lentilferryv1.BlockedCall {
	c.t.Helper()
	response, err := client.ListBlockedCalls(context.Background(), connect.NewRequest(&lentilferryv1.ListBlockedCallsRequest{}))
	assert.NilError(c.t, err)
	calls := response.Msg.GetCalls()
	if len(calls) == 0 {
		return nil
	}
	assert.Equal(c.t, len(calls), 1)
	return calls[0]
}

// A block that an operator lifts at one node ends at the others, in both zones,
// within a second, long before its time.
func TestLiftedBlockEndsAtAllNodes(t *testing.T) {
	c := &crashCase{hostedCluster: newHostedCluster(t)}
	// Gossip alone would be too slow.
	c.gossipInterval = 5 * time.Second
	c.startAll()
	clients := make([]lentilferryv1connect.OperatorServiceClient, len(c.nodes))
	for i, n := range c.nodes {
		clients[i] = c.operatorClient(n)
	}
	blockedTwice := func() bool {
		for _, client := range clients {
			if call := c.blockedCall(client); call == nil || call.GetTrips() < 2 {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(_waitTimeout); !blockedTwice(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not blocked within %s", _waitTimeout)
		for _, n := range c.nodes {
			c.get(n, _crashingPath)
		}
	}
	// The broadcasts of upstreams that come up again would carry the lift too.
	time.Sleep(time.Second)
	for _, client := range clients {
		call := c.blockedCall(client)
		assert.Assert(t, call.GetBlocked() && call.GetBlockEndsInMillis() > 3_000, "%v", call)
		assert.Equal(t, call.GetLabel(), "GET h.example"+_crashingPath)
		assert.Equal(t, call.GetRunners()[0].GetService(), "desk")
	}
	for _, n := range c.nodes {
		assert.Equal(t, c.get(n, _crashingPath), http.StatusServiceUnavailable)
	}

	lift := connect.NewRequest(&lentilferryv1.LiftBlockedCallRequest{Content: c.blockedCall(clients[0]).GetContent(), Operator: "ann"})
	lifted, err := clients[0].LiftBlockedCall(t.Context(), lift)
	assert.NilError(t, err)
	assert.Assert(t, lifted.Msg.GetBefore().GetBlocked())
	liftedAt := time.Now()
	for i, client := range clients {
		for c.blockedCall(client).GetTrips() > 0 {
			assert.Assert(t, time.Since(liftedAt) < time.Second, "still blocked at node %d", i)
			time.Sleep(5 * time.Millisecond)
		}
	}
	t.Logf("lifted everywhere after %s", time.Since(liftedAt))

	again, err := clients[0].LiftBlockedCall(t.Context(), lift)
	assert.NilError(t, err)
	assert.Equal(t, again.Msg.GetBefore().GetTrips(), uint32(0))

	runs := len(c.runTimes())
	c.get(c.nodes[1], _crashingPath)
	assert.Assert(t, len(c.runTimes()) > runs, "the call reached no upstream")
	assert.Assert(t, time.Since(liftedAt) < 2*time.Second, "the block may have ended by itself")
}
