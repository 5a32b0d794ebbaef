package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A call over HTTP/2 whose body stalls is answered at its deadline and at the end
// of a planned stop.
func TestStalledHTTP2UploadIsAnswered(t *testing.T) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	for _, remote := range []bool{false, true} {
		for _, length := range []int64{-1, 9, 90_000} {
			for _, stops := range []bool{false, true} {
				t.Run(fmt.Sprintf("remote %t, length %d, stops %t", remote, length, stops), func(t *testing.T) {
					c := newHostedCluster(t)
					// A server waits half a second before it closes a connection on
					// which the rest of a body is due.
					t.Cleanup(func() { time.Sleep(500 * time.Millisecond) })
					caller, _, stopping := c.startPair(remote, false, 0)
					transport := &http.Transport{Protocols: protocols}
					defer transport.CloseIdleConnections()
					body, writer := io.Pipe()
					defer func() { _ = writer.Close() }()
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					defer cancel()
					request, err := http.NewRequestWithContext(ctx, http.MethodPost, caller.calls+"/batches/1", body)
					assert.NilError(t, err)
					request.Host = "h.example"
					request.ContentLength = length
					request.Header.Set("X-Attempt-Id", "stalled")
					deadline, want := "500", http.StatusGatewayTimeout
					if stops {
						deadline, want = "1900", http.StatusBadGateway
						time.AfterFunc(200*time.Millisecond, stopping.Stop)
					}
					request.Header.Set("X-Deadline-Ms", deadline)
					began := time.Now()
					response, err := transport.RoundTrip(request)
					assert.NilError(t, err, "after %s", time.Since(began))
					_ = response.Body.Close()
					assert.Equal(t, response.StatusCode, want)
					assert.Assert(t, time.Since(began) < 1700*time.Millisecond, "answered after %s", time.Since(began))
				})
			}
		}
	}
}
