package call_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
)

// A call that comes just as the last one ends during a stop doesn't panic, which
// would close the connections of both.
func TestCallBesideWaitIsAnswered(t *testing.T) {
	cluster := newTestCluster(t, _longTimeout, closedPort(t))
	for name, node := range map[string]interface {
		http.Handler
		Wait()
	}{"ingress": cluster.ingress, "owner": cluster.owners[0].Owner} {
		t.Run(name, func(t *testing.T) {
			cluster.ingress.StopAccepting()
			ended := make(chan struct{})
			var waiting, calls sync.WaitGroup
			for range 2 {
				waiting.Go(func() {
					for {
						select {
						case <-ended:
							return
						default:
							node.Wait()
						}
					}
				})
			}
			for range 4 {
				calls.Go(func() {
					defer func() { assert.Check(t, recover() == nil) }()
					for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
						answer := httptest.NewRecorder()
						node.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/commands", nil))
						assert.Check(t, answer.Header().Get(call.HeaderOutcome) == call.NotRun.String())
					}
				})
			}
			calls.Wait()
			close(ended)
			waiting.Wait()
		})
	}
}
