package call_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
)

// busyUpstream is an upstream whose slots are taken until they are freed.
type busyUpstream struct {
	// freed is closed by free to end the calls that take the slots.
	freed chan struct{}
	free  func()
	// taken counts the slots that are taken, and ran the other calls that were
	// read to their ends.
	taken, ran atomic.Int64
}

func (u *busyUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.URL.Path == "/commands/slow" {
		u.taken.Add(1)
		<-u.freed
		return
	}
	u.ran.Add(1)
	_, _ = io.WriteString(w, "done")
}

// startBusyCluster starts a cluster whose only upstream has no free slot.
func startBusyCluster(t *testing.T, local bool) (*testCluster, *busyUpstream) {
	t.Helper()
	u := &busyUpstream{freed: make(chan struct{})}
	u.free = sync.OnceFunc(func() { close(u.freed) })
	cluster := newTestCluster(t, _longTimeout, serveUpstream(t, u))
	t.Cleanup(u.free)
	if local {
		cluster.useLocalOwner(t)
	}
	for range _testSlots {
		go sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands/slow", nil))
	}
	awaitCount(t, "the slots are taken", u.taken.Load, _testSlots)
	return cluster, u
}

// awaitCount waits until a count has a value.
func awaitCount(t *testing.T, what string, count func() int64, want int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); count() != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s: %d instead of %d", what, count(), want)
	}
}

// requestText returns a request with a body of the given size, which is sent
// with its length or in chunks.
func requestText(size int, chunked bool) string {
	body := strings.Repeat("x", size)
	if chunked {
		return fmt.Sprintf("POST /commands/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	return fmt.Sprintf("POST /commands/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, body)
}

// Guards against calls that wait for a slot, and are run, after their callers
// have left.
func TestCallOfGoneCallerIsNotRun(t *testing.T) {
	for _, local := range []bool{false, true} {
		for _, size := range []int{13, 60_000, 300_000} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("local=%t/%d bytes/chunked=%t", local, size, chunked), func(t *testing.T) {
					t.Parallel()
					cluster, u := startBusyCluster(t, local)
					gate := cluster.owners[0].gate
					waiting := func() int64 { return int64(gate.Load().Waiting) }
					conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
					assert.NilError(t, err)
					writeText(conn, requestText(size, chunked))
					awaitCount(t, "the call waits", waiting, 1)
					assert.NilError(t, conn.Close())
					left := time.Now()
					if size < 64<<10 {
						awaitCount(t, "the call has given up its place", waiting, 0)
						assert.Assert(t, time.Since(left) < 400*time.Millisecond, "took %s", time.Since(left))
					} else {
						time.Sleep(100 * time.Millisecond)
					}
					u.free()
					result := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands/2", strings.NewReader("x")))
					assert.Equal(t, result.status, http.StatusOK)
					time.Sleep(100 * time.Millisecond)
					assert.Equal(t, u.ran.Load(), int64(1), "the call of the gone caller ran")
				})
			}
		}
	}
}

// A caller that waits, also one that has begun to send its next request, is
// answered once there is a slot.
func TestCallOfWaitingCallerIsRun(t *testing.T) {
	for _, size := range []int{13, 60_000, 300_000} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes/chunked=%t", size, chunked), func(t *testing.T) {
				t.Parallel()
				cluster, u := startBusyCluster(t, true)
				conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
				writeText(conn, requestText(size, chunked)+requestText(size, chunked))
				time.Sleep(100 * time.Millisecond)
				u.free()
				reader := bufio.NewReader(conn)
				for range 2 {
					response, err := http.ReadResponse(reader, nil)
					assert.NilError(t, err)
					body, err := io.ReadAll(response.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(body), "done")
				}
				assert.Equal(t, u.ran.Load(), int64(2))
			})
		}
	}
}

// Guards against calls that wait for a slot, and are run, after their callers
// have cancelled the streams.
func TestCallOfGoneHTTP2CallerIsNotRun(t *testing.T) {
	for _, local := range []bool{false, true} {
		for _, size := range []int{13, 60_000, 300_000} {
			t.Run(fmt.Sprintf("local=%t/%d bytes", local, size), func(t *testing.T) {
				t.Parallel()
				cluster, u := startBusyCluster(t, local)
				protocols := new(http.Protocols)
				protocols.SetUnencryptedHTTP2(true)
				server := httptest.NewUnstartedServer(cluster.ingress)
				server.Config.ConnContext, server.Config.Protocols = call.ConnContext, protocols
				server.Start()
				t.Cleanup(server.Close)
				transport := &http.Transport{Protocols: protocols}
				t.Cleanup(transport.CloseIdleConnections)
				ctx, cancel := context.WithCancel(t.Context())
				request := newRequest(t, http.MethodPost, server.URL+"/commands/1", strings.NewReader(strings.Repeat("x", size))).WithContext(ctx)
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if response, err := transport.RoundTrip(request); err == nil {
						_ = response.Body.Close()
					}
				}()
				gate := cluster.owners[0].gate
				awaitCount(t, "the call waits", func() int64 { return int64(gate.Load().Waiting) }, 1)
				cancel()
				<-ended
				time.Sleep(100 * time.Millisecond)
				u.free()
				result := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands/2", strings.NewReader("x")))
				assert.Equal(t, result.status, http.StatusOK)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, u.ran.Load(), int64(1), "the call of the gone caller ran")
			})
		}
	}
}
