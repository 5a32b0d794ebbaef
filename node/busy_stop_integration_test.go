package node_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A node that goes on getting calls while it stops doesn't end before it has
// answered those that its upstream has run.
func TestStopUnderLoadAnswersCalls(t *testing.T) {
	for range 4 {
		c := newHostedCluster(t)
		caller, serving, stopping := c.startPair(false, false, 0)
		serving.takes.Store(int64(30 * time.Millisecond))
		answered := atomic.Int64{}
		answered.Store(int64(serving.callCount()))
		var callers sync.WaitGroup
		for range 64 {
			callers.Go(func() {
				for ended := false; !ended; {
					if c.call(caller, "/batches/1") == http.StatusOK {
						answered.Add(1)
					}
					select {
					case <-stopping.done:
						ended = true
					default:
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		stopping.Stop()
		callers.Wait()
		assert.Equal(t, answered.Load(), int64(serving.callCount()))
	}
}
