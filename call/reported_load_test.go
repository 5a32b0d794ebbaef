package call_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
		cluster := newHostedCluster(t, _longTimeout, serveUpstream(t, serveHosted(test.load)))
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
