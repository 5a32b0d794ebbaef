package call_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/crash"
)

// blockCall makes a table block commands of a cluster that have the given body.
func (cluster *testCluster) blockCall(t *testing.T, table *crash.Table, body string) {
	t.Helper()
	target := crash.NewTarget(crash.Request{Method: http.MethodPost, Host: strings.TrimPrefix(cluster.url, "http://"), URI: "/commands/1?q=2"})
	blocked := crash.Call{Target: target, Content: crash.NewContent(target, []byte(body))}
	now := time.Now()
	const trials = 4
	for i := range crash.Threshold + trials {
		// The trials make the block last a minute.
		at := now.Add(time.Duration(i-crash.Threshold) * time.Minute)
		c := crash.Crash{Process: uint64(i), Runner: crash.Runner{Service: "s", Version: "v1"}, StartedAt: at, At: at}
		table.RecordCrash(at, blocked, c)
	}
	assert.Equal(t, table.BlockedCount(now), 1)
}

// sendCommand sends a command, with a length or in chunks.
func (cluster *testCluster) sendCommand(t *testing.T, body io.Reader, chunked bool) callResult {
	t.Helper()
	request := newRequest(t, http.MethodPost, cluster.url+"/commands/1?q=2", body)
	if chunked {
		request.ContentLength = -1
	}
	return sendRequest(t, request)
}

func TestCallThatCrashesUpstreamsIsRefusedAsNotRun(t *testing.T) {
	for name, table := range map[string]func(*testCluster) *crash.Table{
		"at the ingress":                      func(c *testCluster) *crash.Table { return c.ingressDependencies.Crashes },
		"at the owner, by an ingress without": func(c *testCluster) *crash.Table { return c.owners[0].crashes },
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				echoHandler().ServeHTTP(w, r)
			}))
			cluster := newTestCluster(t, 2*time.Second, upstream)
			cluster.blockCall(t, table(cluster), "bad")
			for _, chunked := range []bool{false, true} {
				result := cluster.sendCommand(t, strings.NewReader("bad"), chunked)
				assert.Equal(t, result.status, http.StatusServiceUnavailable)
				assert.Equal(t, result.outcome, call.NotRun.String())
				assert.Equal(t, result.reason, string(call.ReasonCrashesUpstreams))
				after, err := strconv.Atoi(result.header.Get("Retry-After"))
				assert.NilError(t, err)
				assert.Assert(t, after >= 55, "%d s", after)
				assert.Equal(t, calls.Load(), int64(0))
			}
			for _, chunked := range []bool{false, true} {
				result := cluster.sendCommand(t, strings.NewReader("good"), chunked)
				assert.Equal(t, result.status, http.StatusOK)
				assert.Equal(t, result.body, "good")
			}
			assert.Equal(t, calls.Load(), int64(2))
		})
	}
}

// A body that comes slowly does not hold up a call to a target that is suspected.
func TestSlowBodyPassesCrashCheck(t *testing.T) {
	cluster := newTestCluster(t, 10*time.Second, serveUpstream(t, echoHandler()))
	cluster.blockCall(t, cluster.ingressDependencies.Crashes, "bad")
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, "slow")
		time.Sleep(1200 * time.Millisecond)
		_, _ = io.WriteString(writer, "ly")
		_ = writer.Close()
	}()
	result := cluster.sendCommand(t, reader, true)
	assert.Equal(t, result.status, http.StatusOK)
	assert.Equal(t, result.body, "slowly")
}
