package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/membership"
)

// All nodes together admit the calls of a workspace up to its allotment and no
// more, also after a node was killed that may have held a role. Each would
// otherwise admit the whole allotment.
func TestHostedAllotments(t *testing.T) {
	const (
		rate, burst = 20, 20
		window      = 5 * time.Second
		bound       = (rate*5+burst)*1.1 + 20
	)
	c := newHostedCluster(t)
	c.configureKeys(1, "free")
	for i, zone := range []string{"y", "y", "z", "z"} {
		c.start(fmt.Sprint("n", i), membership.Zone(zone), "v1")
	}
	c.waitUntilAll("all serve", func(n *hostedNode) bool { return c.callWithKey(_hostedCaller, n, "free") == http.StatusOK })
	document := fmt.Sprintf(_hostedDocument, 2, "")
	tenants := fmt.Sprintf(`"tenants":[{"name":"acme","api-keys":["k1"],"rate-per-s":%d,"burst":%d}],"services"`, rate, burst)
	c.store.Put("config", "main", strings.Replace(document, `"services"`, tenants, 1))
	c.waitUntilAll("all have the key", func(n *hostedNode) bool { return c.callWithKey(_hostedCaller, n, "k1") != http.StatusUnauthorized })

	var mu sync.Mutex
	var admitted []time.Time
	refused := 0
	start := time.Now()
	var callers sync.WaitGroup
	for i, n := range c.nodes {
		callers.Go(func() {
			for time.Since(start) < 12*time.Second {
				if i == 0 && time.Since(start) > 6*time.Second {
					n.cancel()
					return
				}
				sent := time.Now()
				status := c.callWithKey(_hostedCaller, n, "k1")
				mu.Lock()
				switch status {
				case http.StatusOK:
					admitted = append(admitted, sent)
				case http.StatusTooManyRequests:
					refused++
				}
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	late := 0
	for _, from := range admitted {
		count := 0
		for _, at := range admitted {
			if d := at.Sub(from); d >= 0 && d < window {
				count++
			}
		}
		assert.Assert(t, float64(count) <= bound, "%d calls admitted in a window, bound %.0f", count, bound)
		if from.Sub(start) > 8*time.Second {
			late++
		}
	}
	assert.Assert(t, refused > 0, "no call refused")
	assert.Assert(t, late >= rate*4/2, "%d calls admitted in the last 4 s", late)
}
