package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/internal/fakes/fakestore"
)

// configureKeys stores a version of the configuration with a workspace of each
// key.
func (c *hostedCluster) configureKeys(version int, keys ...string) {
	tenants := make([]string, 0, len(keys))
	for _, key := range keys {
		tenants = append(tenants, fmt.Sprintf(`{"name":"tenant-of-%s","api-keys":[%q]}`, key, key))
	}
	document := fmt.Sprintf(_hostedDocument, version, "")
	c.store.Put("config", "main", strings.Replace(document, `"services"`, `"tenants":[`+strings.Join(tenants, ",")+`],"services"`, 1))
}

// callWithKey sends one call over a client's connections and returns its
// status.
func (c *hostedCluster) callWithKey(client *http.Client, n *hostedNode, key string) int {
	c.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, n.calls+"/batches/1", strings.NewReader("b"))
	assert.NilError(c.t, err)
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprint("a", c.ids.Add(1)))
	request.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// waitUntilAll waits until a condition holds at each node that runs.
func (c *hostedCluster) waitUntilAll(condition string, holds func(n *hostedNode) bool) {
	c.t.Helper()
	end := time.Now().Add(_waitTimeout)
	for _, n := range c.nodes {
		for !holds(n) {
			assert.Assert(c.t, time.Now().Before(end), "not met within %s: %s", _waitTimeout, condition)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// A withdrawn key is refused by all nodes, also over connections that are kept
// and while the store turns one of them away, and none accepts it again.
func TestHostedWithdrawnKey(t *testing.T) {
	c := newHostedCluster(t)
	c.configureKeys(1, "k1", "k2")
	for i := range 3 {
		c.start(fmt.Sprint("n", i), "z", "v1")
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	c.waitUntilAll("all serve both keys", func(n *hostedNode) bool {
		return c.callWithKey(client, n, "k1") == http.StatusOK && c.callWithKey(client, n, "k2") == http.StatusOK
	})
	for _, n := range c.nodes {
		assert.Equal(t, c.callWithKey(client, n, ""), http.StatusUnauthorized)
		assert.Equal(t, c.callWithKey(client, n, "k3"), http.StatusUnauthorized)
	}
	c.store.SetFaults(fakestore.Faults{RefuseFrom: c.nodes[0].ownsStoreConn})
	changed := time.Now()
	c.configureKeys(2, "k2")
	c.waitUntilAll("all refuse the withdrawn key", func(n *hostedNode) bool {
		return c.callWithKey(client, n, "k1") == http.StatusUnauthorized
	})
	assert.Assert(t, time.Since(changed) < 2500*time.Millisecond, "took %s", time.Since(changed))
	for range 20 {
		for _, n := range c.nodes {
			assert.Equal(t, c.callWithKey(client, n, "k1"), http.StatusUnauthorized)
			assert.Equal(t, c.callWithKey(client, n, "k2"), http.StatusOK)
		}
	}
}

// Nodes that were all killed accept a withdrawn key at no time after their
// restart, although the store shows those that start what it held before the
// withdrawal, and accept no call at all while the store is down.
func TestHostedWithdrawnKeyAfterKillOfAllNodes(t *testing.T) {
	c := newHostedCluster(t)
	c.configureKeys(1, "k1", "k2")
	c.start("n0", "z", "v1")
	c.waitUntilAll("serves", func(n *hostedNode) bool { return c.callWithKey(_hostedCaller, n, "k1") == http.StatusOK })
	before := c.store.Backup()
	c.configureKeys(2, "k2")
	c.waitUntilAll("refuses the withdrawn key", func(n *hostedNode) bool {
		return c.callWithKey(_hostedCaller, n, "k1") == http.StatusUnauthorized
	})
	c.nodes[0].cancel()
	<-c.nodes[0].done
	c.nodes = nil
	c.store.SetFaults(fakestore.Faults{Status: http.StatusServiceUnavailable})
	n := c.start("n0", "z", "v1")
	for range 20 {
		assert.Equal(t, c.callWithKey(_hostedCaller, n, "k1"), http.StatusServiceUnavailable)
		assert.Equal(t, c.callWithKey(_hostedCaller, n, "k2"), http.StatusServiceUnavailable)
	}
	c.store.SetFaults(fakestore.Faults{StaleLists: &before})
	c.waitUntilAll("serves the other key", func(n *hostedNode) bool {
		status := c.callWithKey(_hostedCaller, n, "k1")
		assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusUnauthorized, status)
		return c.callWithKey(_hostedCaller, n, "k2") == http.StatusOK
	})
}

// A node that has the routes of an old revision, and then learns that an earlier
// process of it ran a newer one, takes the routes out of force.
func TestRoutesOlderThanRanBeforeAreWithdrawn(t *testing.T) {
	c := newHostedCluster(t)
	c.configureKeys(7, "k1")
	n := c.start("n0", "z", "v1")
	c.waitUntilAll("serves", func(n *hostedNode) bool { return c.callWithKey(_hostedCaller, n, "k1") == http.StatusOK })
	earlier := n.Members().Self()
	earlier.Revision++
	n.Members().Merge(time.Now(), earlier)
	c.waitUntilAll("refuses", func(n *hostedNode) bool {
		return c.callWithKey(_hostedCaller, n, "k1") == http.StatusServiceUnavailable
	})
	c.configureKeys(8, "k2")
	c.waitUntilAll("serves the newer revision", func(n *hostedNode) bool {
		assert.Assert(t, c.callWithKey(_hostedCaller, n, "k1") != http.StatusOK)
		return c.callWithKey(_hostedCaller, n, "k2") == http.StatusOK
	})
}
