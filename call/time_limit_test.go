package call_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
)

// Calls that an owner refuses since it stops are no sign of a bad version.
func TestRefusalForStopIsNoFailure(t *testing.T) {
	upstream := serveUpstream(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(100 * time.Millisecond)
	}))
	cluster := newTestCluster(t, _longTimeout, upstream)
	assert.Equal(t, sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands", nil)).status, http.StatusOK)
	owner := cluster.owners[0]
	owner.LimitTime(time.Now().Add(50 * time.Millisecond))
	refused := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands", nil))
	assert.Equal(t, refused.outcome, call.NotRun.String())
	assert.Equal(t, owner.observed.failures.Load(), int64(0))
}
