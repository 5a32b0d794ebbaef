package call_test

import (
	"expvar"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/routing"
)

// serveHosted returns a handler that answers calls as upstreams of the users'
// platform do, and reports the given load.
func serveHosted(load string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Seal", "seal")
		if load != "" {
			w.Header().Set("X-Server-Load", load)
		}
		_, _ = w.Write([]byte("done"))
	})
}

// The load that an upstream reports must reach the ingress with the answer to a
// call that another node forwarded: what the owner adds was once left out there.
// A header by which no figure is reported leaves the ingress as it was.
func TestReportedLoadReachesIngress(t *testing.T) {
	for _, test := range []struct{ load, want string }{
		{"3,1,2,250", "upstream 3+1/2 at 2.50"},
		{"3,1,2", "none"},
		{"3,1,2,NaN", "none"},
		{"", "none"},
	} {
		cluster := newHostedCluster(t, 10*time.Second, serveUpstream(t, serveHosted(test.load)))
		request := newRequest(t, http.MethodGet, cluster.url+"/", nil)
		request.Header.Set("X-Attempt-Id", "a1")
		result := sendRequest(t, request)
		assert.Equal(t, result.status, http.StatusOK)
		assert.Equal(t, result.header.Get("Lentilferry-Reported-Load"), "")
		summary := cluster.loadSummary()
		assert.Assert(t, strings.Contains(summary, test.want), "%q: %s", test.load, summary)
	}
}

// loadSummary returns what the ingress knows of the load of the first upstream.
func (cluster *testCluster) loadSummary() string {
	now := time.Now()
	endpoint, ok := cluster.pool.Choose(now, routing.Query{Service: "s", Versions: config.VersionSet{Only: "v1"}})
	if !ok {
		return "no upstream"
	}
	return endpoint.LoadSummary(now)
}

// reasonCounter counts the responses of owners that give a reason.
type reasonCounter struct {
	http.RoundTripper

	reason call.Reason
	count  atomic.Int64
}

func (c *reasonCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.RoundTripper.RoundTrip(r)
	if err == nil && response.Header.Get(call.HeaderReason) == string(c.reason) {
		c.count.Add(1)
	}
	return response, err
}

// A call that would wait at its upstream for much longer than its ingress
// assumed is sent elsewhere, at no cost to the retry budget and only once: where
// all upstreams are busy, it must wait and be answered.
func TestBusyOwnerSendsCallElsewhereOnce(t *testing.T) {
	const work = 200 * time.Millisecond
	cluster := newHostedCluster(t, _longTimeout, serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		serveHosted("1,0,2,100").ServeHTTP(w, r)
	})))
	metrics := new(expvar.Map)
	counter := &reasonCounter{RoundTripper: cluster.ingressDependencies.Transport, reason: call.ReasonElsewhere}
	cluster.ingressDependencies.Transport = counter
	cluster.ingressDependencies.Metrics = call.NewMetrics(metrics, "ingress")
	cluster.startIngress(t)
	get := func() int {
		request := newRequest(t, http.MethodGet, cluster.url+"/", nil)
		request.Header.Set("X-Attempt-Id", "a1")
		return sendRequest(t, request).status
	}
	// The answer shows that the upstream reports its load and is idle, and the gate
	// learns how long calls run.
	assert.Equal(t, get(), http.StatusOK)
	assert.Equal(t, counter.count.Load(), int64(0))
	gate := cluster.owners[0].gate
	for range _testSlots {
		ticket := gate.Acquire(time.Now(), admission.Request{Class: config.ClassLookup, Deadline: time.Now().Add(time.Minute), Route: "lookups"})
		time.AfterFunc(work, func() { gate.Release(time.Now(), ticket, admission.NotRun) })
	}
	assert.Equal(t, get(), http.StatusOK)
	assert.Equal(t, counter.count.Load(), int64(1))
	assert.Equal(t, metrics.Get("ingressRetries").String(), "0")
}
