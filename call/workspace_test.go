package call_test

import (
	"bytes"
	"expvar"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2/textlogger"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/routing"
)

// changingRoutes serves the table of the configuration that was set last.
type changingRoutes struct {
	routes
	current atomic.Pointer[routing.Table]
}

func (r *changingRoutes) Table() *routing.Table { return r.current.Load() }

// useWorkspaces replaces the ingress by one whose configuration has the
// workspaces, and returns its routes. Its route for commands is public.
func (cluster *testCluster) useWorkspaces(t testing.TB, workspaces ...config.Workspace) *changingRoutes {
	t.Helper()
	r := &changingRoutes{}
	r.current.Store(cluster.tableWith(t, 1, workspaces...))
	cluster.ingressDependencies.Routes = r
	cluster.startIngress(t)
	return r
}

// tableWith returns the table of a configuration with the workspaces. Its route
// for commands is public.
func (cluster *testCluster) tableWith(t testing.TB, revision uint64, workspaces ...config.Workspace) *routing.Table {
	t.Helper()
	c := cluster.config
	c.Workspaces = workspaces
	c.Routes = append([]config.Route(nil), c.Routes...)
	c.Routes[1].Public = true
	assert.Equal(t, len(config.Check(c)), 0)
	table := routing.NewTable(c, nil, rand.New(rand.NewPCG(1, 1)))
	table.Revision = revision
	return table
}

// workspace returns a workspace with one key.
func workspace(name config.WorkspaceName, key string) config.Workspace {
	return config.Workspace{Name: name, KeyHashes: []config.KeyHash{config.HashKey(key)}}
}

// headerRecorder is an upstream that keeps the headers of the last call.
type headerRecorder struct {
	mu    sync.Mutex
	last  http.Header
	count int
}

// ServeHTTP answers as upstreams of the users' platform do.
func (h *headerRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Seal", "s")
	_, _ = io.Copy(io.Discard, r.Body)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = r.Header.Clone()
	h.count++
}

func (h *headerRecorder) calls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count
}

// _workspaceHeaders names the header of the workspace in each dialect.
var _workspaceHeaders = map[string]string{"native": call.HeaderWorkspace, "platform": "X-Tenant"}

// A call needs a known key unless its route is public. The upstream gets the
// workspace's name and never the key, over a hop and without one, whatever the
// caller sent.
func TestCallsNeedKeys(t *testing.T) {
	for dialect, header := range _workspaceHeaders {
		for _, local := range []bool{false, true} {
			recorder := &headerRecorder{}
			newCluster := newTestCluster
			if dialect == "platform" {
				newCluster = newHostedCluster
			}
			cluster := newCluster(t, _longTimeout, serveUpstream(t, recorder))
			if local {
				cluster.useLocalOwner(t)
			}
			cluster.useWorkspaces(t, workspace("acme", "k1"), workspace("zeta gmbh", "k2"))
			for _, test := range []struct {
				name, path, authorization string
				status                    int
				reason                    call.Reason
				// workspace is what the upstream gets; empty for no header.
				workspace string
			}{
				{"known", "/", "Token k1", http.StatusOK, "", "acme"},
				{"known, of another workspace", "/", "token  k2", http.StatusOK, "", "zeta gmbh"},
				{"missing", "/", "", http.StatusUnauthorized, call.ReasonMissingKey, ""},
				{"of another scheme", "/", "Bearer k1", http.StatusUnauthorized, call.ReasonMissingKey, ""},
				{"unknown", "/", "Token k3", http.StatusUnauthorized, call.ReasonUnknownKey, ""},
				{"empty", "/", "Token ", http.StatusUnauthorized, call.ReasonMissingKey, ""},
				{"known, on a public route", "/commands", "Token k1", http.StatusOK, "", "acme"},
				{"missing, on a public route", "/commands", "", http.StatusOK, "", ""},
				{"unknown, on a public route", "/commands", "Token k3", http.StatusOK, "", ""},
			} {
				name := dialect + " " + test.name
				before := recorder.calls()
				request := newRequest(t, http.MethodPost, cluster.url+test.path, strings.NewReader("b"))
				request.Header.Set("X-Attempt-Id", strings.ReplaceAll(test.name, " ", "-"))
				request.Header.Set(header, "forged")
				if test.authorization != "" {
					request.Header.Set("Authorization", test.authorization)
				}
				got := sendRequest(t, request)
				assert.Equal(t, got.status, test.status, "%s: %s", name, got.body)
				if test.reason != "" {
					assert.Equal(t, got.body, "not-run: "+string(test.reason)+"\n", name)
					assert.Equal(t, got.header.Get("WWW-Authenticate"), "Token", name)
					assert.Equal(t, recorder.calls(), before, name)
					continue
				}
				assert.Equal(t, recorder.calls(), before+1, name)
				assert.Equal(t, recorder.last.Get("Authorization"), "", name)
				assert.Equal(t, recorder.last.Get(header), test.workspace, name)
				_, hasHeader := recorder.last[header]
				assert.Equal(t, hasHeader, test.workspace != "", name)
			}
		}
	}
}

// A call that matches no route gets 404, with or without a key. The key is
// checked before the limits are.
func TestOrderOfChecks(t *testing.T) {
	cluster := newTestCluster(t, _longTimeout)
	cluster.config.Routes = cluster.config.Routes[1:]
	cluster.config.Routes = append(cluster.config.Routes, config.Route{
		Name: "keyed", Service: "s", PathPrefix: "/keyed", Class: config.ClassLookup, Timeout: time.Second,
	})
	cluster.config.Routes[0], cluster.config.Routes[1] = cluster.config.Routes[1], cluster.config.Routes[0]
	cluster.config.Limits.BodyBytes = 4
	cluster.useWorkspaces(t, workspace("acme", "k1"))
	status := func(path, authorization string) int {
		request := newRequest(t, http.MethodPost, cluster.url+path, strings.NewReader("too long"))
		request.Header.Set("Authorization", authorization)
		return sendRequest(t, request).status
	}
	assert.Equal(t, status("/none", ""), http.StatusNotFound)
	assert.Equal(t, status("/none", "Token k1"), http.StatusNotFound)
	assert.Equal(t, status("/keyed", ""), http.StatusUnauthorized)
	assert.Equal(t, status("/keyed", "Token k1"), http.StatusRequestEntityTooLarge)
}

// Without workspaces, the credentials of callers are passed on as before.
func TestWithoutWorkspacesHeadersArePassedOn(t *testing.T) {
	recorder := &headerRecorder{}
	cluster := newHostedCluster(t, _longTimeout, serveUpstream(t, recorder))
	cluster.owners[0].table.Store(cluster.table)
	request := newRequest(t, http.MethodGet, cluster.url+"/", nil)
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("Authorization", "Token k1")
	request.Header.Set("X-Tenant", "acme")
	assert.Equal(t, sendRequest(t, request).status, http.StatusOK)
	assert.Equal(t, recorder.calls(), 1)
	assert.Equal(t, recorder.last.Get("Authorization"), "Token k1")
	assert.Equal(t, recorder.last.Get("X-Tenant"), "acme")
}

// An ingress whose configuration is older, or which runs an earlier build, passes
// the key on. The owner removes it.
func TestOwnerRemovesKey(t *testing.T) {
	recorder := &headerRecorder{}
	cluster := newTestCluster(t, _longTimeout, serveUpstream(t, recorder))
	cluster.owners[0].table.Store(cluster.tableWith(t, 2, workspace("acme", "k1")))
	request := newRequest(t, http.MethodGet, cluster.url+"/", nil)
	request.Header.Set("Authorization", "Token k1")
	assert.Equal(t, sendRequest(t, request).status, http.StatusOK)
	assert.Equal(t, recorder.last.Get("Authorization"), "")
}

// A withdrawn key is refused from the next request of a kept connection on.
func TestWithdrawnKeyIsRefusedOnKeptConnection(t *testing.T) {
	cluster := newTestCluster(t, _longTimeout, serveUpstream(t, echoHandler()))
	routes := cluster.useWorkspaces(t, workspace("acme", "k1"), workspace("zeta", "k2"))
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	status := func() int {
		request := newRequest(t, http.MethodGet, cluster.url+"/", nil)
		request.Header.Set("Authorization", "Token k1")
		return sendThrough(client, request).status
	}
	assert.Equal(t, status(), http.StatusOK)
	routes.current.Store(cluster.tableWith(t, 2, workspace("acme", "k3"), workspace("zeta", "k2")))
	assert.Equal(t, status(), http.StatusUnauthorized)
	routes.current.Store(nil)
	assert.Equal(t, status(), http.StatusServiceUnavailable)
}

// A call that waits for a slot is refused as not run when its turn comes, if its
// key was withdrawn meanwhile. It is not if the owner's configuration is the
// older one, or the route is public.
func TestQueuedCallOfWithdrawnKeyIsRefused(t *testing.T) {
	for _, test := range []struct {
		name, path string
		// revision is that of the owner's configuration, which lacks the key.
		revision uint64
		status   int
	}{
		{"newer", "/", 2, http.StatusServiceUnavailable},
		{"the same", "/", 1, http.StatusOK},
		{"older", "/", 0, http.StatusOK},
		{"newer, public route", "/commands", 2, http.StatusOK},
	} {
		release := make(chan struct{})
		var runs atomic.Int64
		cluster := newTestCluster(t, _longTimeout, serveUpstream(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			<-release
		})))
		cluster.useWorkspaces(t, workspace("acme", "k1"), workspace("zeta", "k2"))
		owner := cluster.owners[0]
		owner.table.Store(cluster.tableWith(t, 1, workspace("acme", "k1"), workspace("zeta", "k2")))
		send := func(path, key string) callResult {
			request := newRequest(t, http.MethodPost, cluster.url+path, strings.NewReader("b"))
			request.Header.Set("Authorization", "Token "+key)
			return sendRequest(t, request)
		}
		var group sync.WaitGroup
		for range _testSlots {
			group.Go(func() { assert.Check(t, send("/commands", "k2").status == http.StatusOK) })
		}
		waitUntil(t, func() bool { return runs.Load() == _testSlots })
		group.Go(func() {
			got := send(test.path, "k1")
			assert.Check(t, got.status == test.status, "%s: %d %s", test.name, got.status, got.body)
			if test.status != http.StatusOK {
				assert.Check(t, got.body == "not-run: key-withdrawn\n", got.body)
			}
		})
		waitUntil(t, func() bool { return owner.gate.Load().Waiting == 1 })
		owner.table.Store(cluster.tableWith(t, test.revision, workspace("zeta", "k2")))
		close(release)
		group.Wait()
		wantRuns := int64(_testSlots)
		if test.status == http.StatusOK {
			wantRuns++
		}
		assert.Equal(t, runs.Load(), wantRuns, test.name)
		assert.Equal(t, owner.gate.Load().Running, 0, test.name)
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(_longTimeout); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

// countingAllotments admits a number of calls of each workspace.
type countingAllotments struct {
	mu          sync.Mutex
	left        map[config.WorkspaceName]int
	taken, back int
}

func (a *countingAllotments) Take(_ time.Time, name config.WorkspaceName) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left[name] == 0 {
		return false, 1500 * time.Millisecond
	}
	a.left[name]--
	a.taken++
	return true, 0
}

func (a *countingAllotments) GiveBack(_ time.Time, name config.WorkspaceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left[name]++
	a.back++
}

// Calls beyond the allotment get 429 and when to come again. A call counts once,
// whatever the attempts, and not at all if it has not run.
func TestAllotments(t *testing.T) {
	recorder := &headerRecorder{}
	cluster := newTestCluster(t, _longTimeout, closedPort(t), serveUpstream(t, recorder))
	allotments := &countingAllotments{left: map[config.WorkspaceName]int{"acme": 3}}
	cluster.ingressDependencies.Allotments = allotments
	cluster.useWorkspaces(t, workspace("acme", "k1"))
	send := func(path, authorization string) callResult {
		request := newRequest(t, http.MethodGet, cluster.url+path, nil)
		request.Header.Set("Authorization", authorization)
		return sendRequest(t, request)
	}
	for range 3 {
		assert.Equal(t, send("/", "Token k1").status, http.StatusOK)
	}
	refused := send("/", "Token k1")
	assert.Equal(t, refused.status, http.StatusTooManyRequests)
	assert.Equal(t, refused.body, "not-run: allotment\n")
	assert.Equal(t, refused.header.Get("Retry-After"), "2")
	assert.Equal(t, recorder.calls(), 3)
	assert.Equal(t, send("/commands", "").status, http.StatusOK)
	assert.Equal(t, send("/", "Token k9").status, http.StatusUnauthorized)
	assert.Equal(t, allotments.taken, 3)
	assert.Equal(t, allotments.back, 0)

	// No upstream is left, so that the call is not run.
	cluster.pool.Update(nil)
	allotments.left["acme"] = 1
	assert.Equal(t, send("/", "Token k1").status, http.StatusServiceUnavailable)
	assert.Equal(t, allotments.back, 1)
	assert.Equal(t, allotments.left["acme"], 1)
}

// Guards against a 429 whose Retry-After is longer than callers honour: it is at
// most a third of the time that the caller has left.
func TestAllotmentRetryAfterLeavesTime(t *testing.T) {
	cluster := newHostedCluster(t, _longTimeout, serveUpstream(t, &headerRecorder{}))
	cluster.ingressDependencies.Allotments = &countingAllotments{}
	cluster.useWorkspaces(t, workspace("acme", "k1"))
	retryAfter := func(leftMillis string) float64 {
		request := newRequest(t, http.MethodGet, cluster.url+"/", nil)
		request.Header.Set("Authorization", "Token k1")
		request.Header.Set("X-Attempt-Id", "a1")
		request.Header.Set("X-Deadline-Ms", leftMillis)
		got := sendRequest(t, request)
		assert.Equal(t, got.status, http.StatusTooManyRequests)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		return seconds
	}
	assert.Equal(t, retryAfter("9000"), 1.5)
	first := retryAfter("900")
	assert.Assert(t, first > 0 && first <= 0.3, "%g s", first)
	differs := false
	for range 20 {
		differs = differs || retryAfter("900") != first
	}
	assert.Assert(t, differs, "callers that are refused together come back together")
}

// A call on a public route that carries a key counts for its workspace, also when
// the allotment is used up: the bound covers all calls of the workspace.
func TestAllotmentCoversPublicRoutes(t *testing.T) {
	recorder := &headerRecorder{}
	cluster := newTestCluster(t, _longTimeout, serveUpstream(t, recorder))
	cluster.ingressDependencies.Allotments = &countingAllotments{left: map[config.WorkspaceName]int{"acme": 1}}
	cluster.useWorkspaces(t, workspace("acme", "k1"))
	status := func(authorization string) int {
		request := newRequest(t, http.MethodGet, cluster.url+"/commands", nil)
		request.Header.Set("Authorization", authorization)
		return sendRequest(t, request).status
	}
	assert.Equal(t, status("Token k1"), http.StatusOK)
	assert.Equal(t, status("Token k1"), http.StatusTooManyRequests)
	assert.Equal(t, status(""), http.StatusOK)
	assert.Equal(t, status("Token unknown"), http.StatusOK)
	assert.Equal(t, recorder.calls(), 3)
}

// The key is in no log line, metric or response of the system's own.
func TestKeyIsNotDisclosed(t *testing.T) {
	const key = "very-secret-key"
	var log safeBuffer
	metrics := new(expvar.Map)
	cluster := newTestCluster(t, _longTimeout, closedPort(t))
	cluster.ingressDependencies.Logger = textlogger.NewLogger(textlogger.NewConfig(textlogger.Verbosity(10), textlogger.Output(&log)))
	cluster.ingressDependencies.Metrics = call.NewMetrics(metrics, "ingress")
	cluster.useWorkspaces(t, workspace("acme", key))
	for _, sent := range []string{key, key + "x"} {
		request := newRequest(t, http.MethodGet, cluster.url+"/", nil)
		request.Header.Set("Authorization", "Token "+sent)
		got := sendRequest(t, request)
		assert.Assert(t, got.status >= http.StatusBadRequest)
		assert.Assert(t, !strings.Contains(got.body, key))
	}
	assert.Assert(t, strings.Contains(log.String(), "unknown-key"), log.String())
	assert.Assert(t, strings.Contains(metrics.String(), `"unknown-key": 1`), metrics.String())
	assert.Assert(t, !strings.Contains(log.String(), key))
	assert.Assert(t, !strings.Contains(metrics.String(), key))
}

// safeBuffer is a buffer that is safe for concurrent use.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
