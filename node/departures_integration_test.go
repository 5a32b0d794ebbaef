package node_test

import (
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/internal/fakes/fakestore"
	"lentilferry.example/lentilferry/upstream"
)

// killAll ends all nodes at once, without a planned stop.
func (c *hostedCluster) killAll() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		<-n.done
	}
	c.nodes = nil
}

// callAllFor sends calls through all nodes for a time.
func (c *hostedCluster) callAllFor(d time.Duration) {
	c.t.Helper()
	for began := time.Now(); time.Since(began) < d; time.Sleep(time.Millisecond) {
		for _, n := range c.nodes {
			c.call(n, "/batches/1")
		}
	}
}

// Guards against calls to a departed upstream after all nodes were killed.
func TestHostedDepartureSurvivesKillOfAllNodes(t *testing.T) {
	for _, tt := range []struct {
		name string
		// leave announces the departure of the first node's upstream.
		leave func(n *hostedNode) upstream.Result
		// sequence is that of the last heartbeat before the late ones.
		sequence uint64
		want     upstream.Result
	}{
		{name: "announced", leave: func(n *hostedNode) upstream.Result { return n.announce(true) }, want: upstream.Accepted},
		{name: "deregistered", leave: func(n *hostedNode) upstream.Result { return n.HandleDeparture(time.Now(), n.id) }, want: upstream.Accepted},
		{
			name: "deregistered before any heartbeat", sequence: 7, want: upstream.Stale,
			leave: func(n *hostedNode) upstream.Result { return n.HandleDeparture(time.Now(), "i-other") },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newHostedCluster(t, "v1", "v1")
			c.callUntil("both serve", c.serving(2))
			assert.Equal(t, tt.leave(c.nodes[0]), tt.want)
			c.killAll()
			departed := c.start("n0", "z", "v1")
			if tt.sequence > 0 {
				departed.id, departed.incarnation, departed.sequence = "i-other", 2, tt.sequence
			}
			// Two late heartbeats, in order.
			departed.announce(false)
			departed.announce(false)
			other := c.start("n1", "z", "v1")
			c.callAllFor(3 * time.Second)
			assert.Equal(t, departed.callCount(), 0)
			assert.Assert(t, other.callCount() > 0)
			departed.incarnation, departed.sequence = 3, 0
			assert.Equal(t, departed.announce(false), upstream.Accepted)
			c.callUntil("the upstream's next process serves", func() bool { return departed.callCount() > 0 })
		})
	}
}

// Guards against a confirmation that nothing but the memory of nodes holds.
func TestHostedDepartureIsNotConfirmedWithoutStore(t *testing.T) {
	for name, faults := range map[string]fakestore.Faults{
		"unavailable": {Status: http.StatusServiceUnavailable},
		"silent":      {Hang: true},
		"reset":       {Reset: true},
		"late":        {LateWriteDelay: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newHostedCluster(t, "v1", "v1")
			c.callUntil("both serve", c.serving(2))
			first := c.nodes[0]
			c.store.SetFaults(faults)
			began := time.Now()
			assert.Equal(t, first.announce(true), upstream.Unrecorded)
			assert.Assert(t, time.Since(began) < time.Second, "took %s", time.Since(began))
			// The departure holds at the node all the same.
			ran := first.callCount()
			c.callAllFor(200 * time.Millisecond)
			assert.Equal(t, first.callCount(), ran)
			c.store.SetFaults(fakestore.Faults{})
			for end := time.Now().Add(_waitTimeout); first.announce(true) == upstream.Unrecorded; time.Sleep(10 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "not confirmed")
			}
			c.killAll()
			departed := c.start("n0", "z", "v1")
			c.start("n1", "z", "v1")
			c.callAllFor(3 * time.Second)
			assert.Equal(t, departed.callCount(), 0)
		})
	}
}

// Guards against departures that can't be confirmed, and departed upstreams that
// are used again, while the store turns their node away.
func TestHostedDepartureAtNodeThatTheStoreTurnsAway(t *testing.T) {
	c := newHostedCluster(t, "v1", "v1", "v1")
	c.callUntil("all serve", c.serving(3))
	turnedAway := c.nodes[0]
	c.store.SetFaults(fakestore.Faults{RefuseFrom: turnedAway.ownsStoreConn})
	assert.Equal(t, turnedAway.announce(true), upstream.Accepted)
	c.killAll()
	c.store.SetFaults(fakestore.Faults{})
	c.start("n1", "z", "v1")
	c.start("n2", "z", "v1")
	c.callUntil("the others serve", c.serving(2))
	c.seeds = []netip.AddrPort{c.nodes[0].Members().Self().PeerAddress}
	others := c.nodes
	c.store.SetFaults(fakestore.Faults{RefuseFrom: func(remote string) bool {
		return !slices.ContainsFunc(others, func(n *hostedNode) bool { return n.ownsStoreConn(remote) })
	}})
	departed := c.start("n0", "z", "v1")
	c.callAllFor(3 * time.Second)
	assert.Equal(t, departed.callCount(), 0)
	departed.incarnation, departed.sequence = 3, 0
	assert.Equal(t, departed.announce(false), upstream.Accepted)
	c.callUntil("the upstream's next process serves", func() bool { return departed.callCount() > 0 })
}

// Guards against an upstream that stays unused while its node, which has a
// configuration, can't reach the store.
func TestHostedStartWithoutStoreServes(t *testing.T) {
	for name, faults := range map[string]fakestore.Faults{
		"unavailable": {Status: http.StatusServiceUnavailable},
		"silent":      {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newHostedCluster(t, "v1", "v1")
			c.callUntil("both serve", c.serving(2))
			c.store.SetFaults(faults)
			c.seeds = []netip.AddrPort{c.nodes[0].Members().Self().PeerAddress}
			started := time.Now()
			n := c.start("n2", "z", "v1")
			c.callUntil("the new node's upstream serves", func() bool { return n.callCount() > 0 })
			assert.Assert(t, time.Since(started) < 4*time.Second, "took %s", time.Since(started))
		})
	}
}

// Guards against a departure that is lost with what a restored store had
// acknowledged.
func TestHostedDepartureSurvivesRestoreOfStore(t *testing.T) {
	c := newHostedCluster(t, "v1", "v1")
	c.callUntil("both serve", c.serving(2))
	backup := c.store.Backup()
	assert.Equal(t, c.nodes[0].announce(true), upstream.Accepted)
	c.store.Restore(backup)
	c.callUntil("the departure is stored again", func() bool {
		_, stored := c.store.Get("lentilferry-departure", "n0")
		return stored
	})
	c.killAll()
	departed := c.start("n0", "z", "v1")
	c.start("n1", "z", "v1")
	c.callAllFor(3 * time.Second)
	assert.Equal(t, departed.callCount(), 0)
}
