package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Calls in flight at a second signal, which ends a planned stop at once, are
// answered.
func TestCallCutBySecondSignalIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name          string
		remote        bool
		notice        time.Duration
		headers, body string
	}{
		{"own upstream", false, 0, "Content-Length: 1", "b"},
		{"upstream of another node", true, 0, "Content-Length: 1", "b"},
		{"during the notice", false, 900 * time.Millisecond, "Content-Length: 1", "b"},
		{"slow short body", false, 0, "Content-Length: 9", "b"},
		{"slow body without a length", false, 0, "Transfer-Encoding: chunked", "1\r\nb\r\n"},
		{"slow short body to another node", true, 0, "Content-Length: 9", "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newHostedCluster(t)
			c.leaveNotice = test.notice
			caller, serving, stopping := c.startPair(test.remote, false, 0)
			serving.hanging.Store(true)
			status := make(chan int, 1)
			go func() { status <- c.exchange(caller, c.request(test.headers, test.body)) }()
			time.Sleep(200 * time.Millisecond)
			stopping.Stop()
			time.Sleep(200 * time.Millisecond)
			began := time.Now()
			stopping.cancel()
			assert.Equal(t, <-status, http.StatusBadGateway)
			<-stopping.done
			assert.Assert(t, time.Since(began) < 600*time.Millisecond, "stopped after %s", time.Since(began))
		})
	}
}
