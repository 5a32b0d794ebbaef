package call_test

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/common/socket"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/identity"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/platform"
	"lentilferry.example/lentilferry/retry"
	"lentilferry.example/lentilferry/routing"
)

// testCluster is one ingress and several owners, each with an upstream.
type testCluster struct {
	url     string
	ingress *call.Ingress
	table   *routing.Table
	// config is what table was built from.
	config config.Config
	owners []*testOwner
	pool   *routing.Pool
	// timeout is that of the routes.
	timeout time.Duration
	// ingressDependencies are those that ingress was built from.
	ingressDependencies call.IngressDependencies
}

// testOwner is an owner with its gate and the observations that it reported.
type testOwner struct {
	member   membership.Member
	gate     *admission.Gate
	crashes  *crash.Table
	observed *failureCounter
	// accepted counts the connections from ingresses.
	accepted *atomic.Int64
	// table is that of the owner's node; nil unless a test sets it.
	table *atomic.Pointer[routing.Table]
	// buffers bounds the bodies that the owner keeps.
	buffers *call.BufferBudget
	*call.Owner
}

// routes serves a fixed table.
type routes struct{ table *routing.Table }

// setLimits sets the limits of the configuration in force.
func (cluster *testCluster) setLimits(l config.Limits) { cluster.table.Limits = l }

func (r routes) Table() *routing.Table { return r.table }

func (r routes) Versions(t *routing.Target, s config.Service) (first, second config.VersionSet) {
	first = config.VersionSet{Only: t.NextVersion(s, "")}
	return first, first
}

// failureCounter counts the observations and failures that an owner reports.
type failureCounter struct{ calls, failures atomic.Int64 }

func (o *failureCounter) Observe(_ time.Time, observation evidence.Observation) {
	o.calls.Add(1)
	if observation.Failed {
		o.failures.Add(1)
	}
}

// _testSlots is the number of slots of each test upstream.
const _testSlots = 2

// newTestCluster starts an ingress, and an owner for each upstream. Both routes
// have the given timeout.
func newTestCluster(t testing.TB, timeout time.Duration, upstreams ...netip.AddrPort) *testCluster {
	t.Helper()
	cluster := &testCluster{pool: routing.NewPool("a", "r"), timeout: timeout}
	members := make([]membership.Member, 0, len(upstreams))
	for i, upstream := range upstreams {
		o := newTestOwner(t, membership.NodeID("node-"+string(rune('a'+i))), upstream)
		cluster.owners = append(cluster.owners, o)
		members = append(members, o.member)
	}
	cluster.pool.Update(members)
	c := config.Config{
		Services: []config.Service{{Name: "s", Weights: []config.Weight{{Version: "v1", Share: config.FullShare}}}},
		Versions: []config.Version{{Service: "s", Name: "v1"}},
		Routes: []config.Route{
			{Name: "lookups", Service: "s", PathPrefix: "/", Class: config.ClassLookup, Timeout: timeout},
			{Name: "commands", Service: "s", PathPrefix: "/commands", Class: config.ClassCommand, Timeout: timeout},
		},
	}
	assert.Equal(t, len(config.Check(c)), 0)
	toOwners := call.NewForwardTransport()
	t.Cleanup(toOwners.CloseIdleConnections)
	cluster.config = c
	cluster.table = routing.NewTable(c, nil, rand.New(rand.NewPCG(1, 1)))
	cluster.ingressDependencies = call.IngressDependencies{
		Routes:           routes{cluster.table},
		Endpoints:        cluster.pool,
		Transport:        toOwners,
		Dialect:          call.NativeDialect{},
		Budgets:          retry.NewBudgets[config.ServiceName](retry.DefaultLimits()),
		NodeCount:        func() int { return 1 },
		Crashes:          crash.New("ingress"),
		CrashesChanged:   func() {},
		Buffers:          newTestBudget(t),
		ShareSlotsFairly: true,
		Metrics:          call.NewMetrics(new(expvar.Map), "ingress"),
		Logger:           klog.Logger{},
		Now:              time.Now,
	}
	cluster.startIngress(t)
	return cluster
}

// _testBufferBytes is the budget of each ingress and owner.
const _testBufferBytes = 1 << 20

// newTestBudget returns a budget of which nothing may be left reserved when the
// test ends.
func newTestBudget(t testing.TB) *call.BufferBudget {
	t.Helper()
	budget := call.NewBufferBudget(_testBufferBytes)
	t.Cleanup(func() {
		for end := time.Now().Add(5 * time.Second); budget.Held() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("%d bytes are still reserved", budget.Held())
				return
			}
		}
	})
	return budget
}

// newHostedCluster is like newTestCluster for upstreams and callers of the
// users' platform. Its upstreams' responses need no length.
func newHostedCluster(t testing.TB, timeout time.Duration, upstreams ...netip.AddrPort) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, timeout)
	members := make([]membership.Member, 0, len(upstreams))
	for i, upstream := range upstreams {
		o := newTestOwnerWith(t, membership.NodeID("node-"+string(rune('a'+i))), upstream, platform.Headers{}, true)
		cluster.owners = append(cluster.owners, o)
		members = append(members, o.member)
	}
	cluster.pool.Update(members)
	cluster.ingressDependencies.Dialect = platform.Headers{}
	cluster.startIngress(t)
	return cluster
}

// startIngress starts an ingress with ingressDependencies.
func (cluster *testCluster) startIngress(t testing.TB) {
	t.Helper()
	cluster.ingress = call.NewIngress(cluster.ingressDependencies)
	server := httptest.NewUnstartedServer(cluster.ingress)
	server.Config.ConnState = limitUnsent
	server.Config.ConnContext = call.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	cluster.url = server.URL
}

// limitUnsent bounds what the kernel holds for callers that don't read, as nodes
// do.
func limitUnsent(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		// Fails only on a closed connection.
		_ = socket.LimitUnsent(conn, 32<<10)
	}
}

// useLocalOwner replaces the ingress by one on the node of the first owner.
func (cluster *testCluster) useLocalOwner(t testing.TB) {
	t.Helper()
	local := cluster.owners[0]
	cluster.ingressDependencies.LocalOwner = local.Owner
	cluster.ingressDependencies.Self = func() membership.Member { return local.member }
	cluster.startIngress(t)
}

// newTestOwner starts the owner of the upstream at the given address.
func newTestOwner(t testing.TB, id membership.NodeID, upstream netip.AddrPort) *testOwner {
	t.Helper()
	return newTestOwnerWith(t, id, upstream, call.NativeDialect{}, false)
}

// newTestOwnerWith starts an owner with the given dialect.
func newTestOwnerWith(t testing.TB, id membership.NodeID, upstream netip.AddrPort, dialect call.Dialect, allowCloseDelimited bool) *testOwner {
	t.Helper()
	o := &testOwner{gate: admission.New(admission.DefaultLimits(_testSlots)), crashes: crash.New(string(id)), observed: &failureCounter{}, accepted: new(atomic.Int64), table: new(atomic.Pointer[routing.Table]), buffers: newTestBudget(t)}
	o.member = membership.Member{
		ID: id, Incarnation: 1, State: membership.Serving, Zone: "a", Region: "r",
		Service: "s", Version: "v1", Slots: _testSlots,
	}
	toUpstream := call.NewUpstreamClient(_testSlots, dialect)
	t.Cleanup(toUpstream.CloseIdleConnections)
	o.Owner = call.NewOwner(call.OwnerDependencies{
		Self:                func() membership.Member { return o.member },
		Table:               o.table.Load,
		Upstream:            upstream,
		Transport:           toUpstream,
		Dialect:             dialect,
		AllowCloseDelimited: allowCloseDelimited,
		Gate:                o.gate,
		Identities:          identity.New(time.Now(), config.MaxTimeout, 1000),
		Crashes:             o.crashes,
		Buffers:             o.buffers,
		Observer:            o.observed,
		Metrics:             call.NewMetrics(new(expvar.Map), "owner"),
		Now:                 time.Now,
	})
	server := httptest.NewUnstartedServer(o)
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			o.accepted.Add(1)
		}
		limitUnsent(conn, state)
	}
	server.Config.ConnContext = call.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	o.member.PeerAddress = netip.MustParseAddrPort(server.Listener.Addr().String())
	return o
}

// callResult is what a caller got.
type callResult struct {
	status  int
	outcome string
	reason  string
	body    string
	header  http.Header
	trailer http.Header
	// broken is set if the response was incomplete or missing.
	broken bool
}

// _callerClient sends the requests of callers.
var _callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// sendRequest sends one request without reusing a connection.
func sendRequest(t testing.TB, request *http.Request) callResult {
	t.Helper()
	return sendThrough(_callerClient, request)
}

// sendThrough sends one request through a client.
func sendThrough(client *http.Client, request *http.Request) callResult {
	response, err := client.Do(request)
	if err != nil {
		return callResult{broken: true}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{
		status:  response.StatusCode,
		outcome: response.Header.Get(call.HeaderOutcome),
		reason:  response.Header.Get(call.HeaderReason),
		body:    string(body),
		header:  response.Header,
		trailer: response.Trailer,
		broken:  err != nil,
	}
}

// newRequest returns a request without a deadline.
func newRequest(t testing.TB, method, url string, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, url, body)
	assert.NilError(t, err)
	return request
}

// scriptedUpstream is an upstream that runs a script on each connection and
// counts the calls whose headers the script has read.
type scriptedUpstream struct {
	address netip.AddrPort
	calls   atomic.Int64
	// accepted counts the accepted connections.
	accepted atomic.Int64
	// stop is closed when the test ends.
	stop  chan struct{}
	conns sync.WaitGroup
}

// newScriptedUpstream starts an upstream that runs the script on each
// connection.
func newScriptedUpstream(t testing.TB, script func(s *scriptedUpstream, conn net.Conn, r *bufio.Reader)) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedUpstream{address: netip.MustParseAddrPort(listener.Addr().String()), stop: make(chan struct{})}
	s.conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			s.conns.Go(func() {
				defer func() { _ = conn.Close() }()
				script(s, conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		close(s.stop)
		_ = listener.Close()
		s.conns.Wait()
	})
	return s
}

// readHeaders reads a call's headers and counts the call. It returns nil if the
// connection has ended.
func (s *scriptedUpstream) readHeaders(r *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	s.calls.Add(1)
	return request
}

// readAll reads a whole call and counts it. It returns nil if the connection
// has ended.
func (s *scriptedUpstream) readAll(r *bufio.Reader) *http.Request {
	request := s.readHeaders(r)
	if request != nil {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	return request
}

// blockUntilTestEnds keeps the connection open and sends nothing until the test
// ends.
func (s *scriptedUpstream) blockUntilTestEnds() { <-s.stop }

// writeText writes to a connection and ignores errors.
func writeText(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// echoHandler responds to each call with the call's body.
func echoHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		_, _ = io.Copy(w, r.Body)
	})
}

// serveUpstream starts an upstream and returns its address.
func serveUpstream(t testing.TB, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// closedPort returns an address that nothing listens on.
func closedPort(t testing.TB) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}
