package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/internal/fakes/fakeupstream"
	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/node"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/wire"
)

// _waitTimeout bounds every wait; it only decides when a test gives up.
const _waitTimeout = 30 * time.Second

const _document = `
services:
  - {name: desk, weights: [{version: v1, share: 100}]}
versions:
  - {service: desk, name: v1}
  - {service: desk, name: v2}
routes:
  - {name: slips, service: desk, pathPrefix: /slips, class: lookup, timeout: 5s}
  - {name: batches, service: desk, pathPrefix: /batches, class: command, timeout: 5s}
`

// cluster is a set of nodes on a fake platform.
type cluster struct {
	// slowCalls delays the connections of callers; nil for none.
	slowCalls *delays
	// drainTimeout is that of nodes that are started from now on; 0 for the
	// default.
	drainTimeout time.Duration
	t            *testing.T
	platform     *fakeplatform.Platform
	base         *url.URL
	nodes        map[string]*testNode
}

// testNode is a running node and its upstream.
type testNode struct {
	*node.Node
	id       string
	calls    string
	peer     netip.AddrPort
	upstream *fakeupstream.Upstream
	address  netip.AddrPort
	cancel   context.CancelFunc
	done     chan struct{}
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	c := &cluster{t: t, platform: fakeplatform.New(), nodes: make(map[string]*testNode)}
	server := httptest.NewServer(c.platform.Handler())
	c.base, _ = url.Parse(server.URL)
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.cancel()
			<-n.done
		}
		server.CloseClientConnections()
		server.Close()
	})
	return c
}

func (c *cluster) start(id string, zone membership.Zone) *testNode {
	return c.startVersion(id, zone, "v1", fakeupstream.Faults{})
}

// startVersion starts a node and an upstream of the given version with faults.
func (c *cluster) startVersion(id string, zone membership.Zone, version config.VersionName, faults fakeupstream.Faults) *testNode {
	upstream := fakeupstream.New(string(version), time.Millisecond)
	upstream.SetFaults(faults)
	server := httptest.NewServer(upstream)
	c.t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return c.startWith(id, zone, version, upstream, address)
}

// startWith starts a node for an upstream that is already running.
func (c *cluster) startWith(id string, zone membership.Zone, version config.VersionName, upstream *fakeupstream.Upstream, address netip.AddrPort, seeds ...netip.AddrPort) *testNode {
	var l node.Listeners
	for _, target := range []*net.Listener{&l.Calls, &l.Peers, &l.Admin} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(c.t, err)
		*target = listener
	}
	if c.slowCalls != nil {
		l.Calls = slowListener{l.Calls, c.slowCalls}
	}
	transport := &http.Transport{}
	timing := node.DefaultTiming()
	timing.GossipInterval, timing.ZoneGossipInterval, timing.HealthCheckInterval, timing.ControlInterval = 50*time.Millisecond, 100*time.Millisecond, 50*time.Millisecond, 100*time.Millisecond
	if c.drainTimeout > 0 {
		timing.DrainTimeout = c.drainTimeout
	}
	peer := netip.MustParseAddrPort(l.Peers.Addr().String())
	n := node.New(node.Dependencies{
		ID: membership.NodeID(id), Region: "r", Zone: zone, PeerAddress: peer, Seeds: seeds,
		Upstream: node.Upstream{Service: "desk", Version: version, Address: address, HealthPath: "/healthz", Slots: 8, Warmup: 50 * time.Millisecond},
		Timing:   timing, Membership: membership.DefaultTiming(), Lease: lease.DefaultTiming(),
		Platform:  objectstore.NewHTTPClient(objectstore.HTTPDependencies{Base: c.base, Transport: transport, CallTimeout: time.Second, WatchTimeout: time.Second}),
		Listeners: l, Logger: klog.Logger{}, Now: time.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	r := &testNode{
		Node: n, id: id, calls: "http://" + l.Calls.Addr().String(), peer: peer,
		upstream: upstream, address: address, cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(r.done)
		defer transport.CloseIdleConnections()
		assert.Check(c.t, n.Run(ctx) == nil)
	}()
	c.nodes[id] = r
	return r
}

// waitFor waits until a condition holds.
func (c *cluster) waitFor(condition string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(_waitTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(c.t, time.Now().Before(end), "not met within %s: %s", _waitTimeout, condition)
	}
}

// serving returns a condition: the node has routes and sees n upstreams that
// accept calls and are not suspected.
func (r *testNode) serving(n int) func() bool {
	return func() bool {
		count := 0
		for _, member := range r.Members().Members() {
			if member.State.AcceptsCalls() && !member.Suspected {
				count++
			}
		}
		return count == n && r.Table() != nil
	}
}

// apply applies _document through a node.
func (c *cluster) apply(r *testNode) {
	c.t.Helper()
	_, err := r.Operations().Apply(context.Background(), []byte(_document), "test", "apply", false)
	assert.NilError(c.t, err)
}

// loadGenerator sends calls through some nodes until it is stopped, and counts
// their outcomes.
type loadGenerator struct {
	client      *http.Client
	stop        chan struct{}
	group       sync.WaitGroup
	answered    atomic.Int64
	notRun      atomic.Int64
	unknown     atomic.Int64
	interrupted atomic.Int64
	// candidate counts the answers from version v2.
	candidate atomic.Int64
}

func startLoad(nodes ...*testNode) *loadGenerator {
	l := &loadGenerator{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, stop: make(chan struct{})}
	for worker := range 6 {
		l.group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.call(nodes[(i+worker)%len(nodes)], fmt.Sprint(worker, "-", i), i%3 == 0)
			}
		})
	}
	return l
}

// call sends one call and counts its outcome.
func (l *loadGenerator) call(n *testNode, id string, command bool) {
	method, path := http.MethodGet, "/slips"
	if command {
		method, path = http.MethodPost, "/batches"
	}
	request, _ := http.NewRequestWithContext(context.Background(), method, n.calls+path, strings.NewReader(id))
	request.Header.Set(fakeupstream.HeaderRequest, id)
	response, err := l.client.Do(request)
	if err != nil {
		l.interrupted.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch outcome := response.Header.Get(call.HeaderOutcome); {
	case err != nil:
		l.interrupted.Add(1)
	case outcome == call.NotRun.String():
		l.notRun.Add(1)
	case outcome == call.Unknown.String():
		l.unknown.Add(1)
	case response.StatusCode == http.StatusOK && string(body) != id || response.Header.Get(fakeupstream.HeaderRequest) != id:
		panic("response belongs to another request: " + string(body))
	default:
		l.answered.Add(1)
		if response.Header.Get(fakeupstream.HeaderVersion) == "v2" {
			l.candidate.Add(1)
		}
	}
}

// stopAndWait stops the load and waits for the last answers.
func (l *loadGenerator) stopAndWait() {
	close(l.stop)
	l.group.Wait()
	l.client.CloseIdleConnections()
}

// assertNoDoubleRuns checks that each command ran at most once across all
// upstreams.
func (c *cluster) assertNoDoubleRuns(upstreams ...*fakeupstream.Upstream) {
	c.t.Helper()
	runs := make(map[string]int)
	for _, u := range upstreams {
		for id, n := range u.Runs() {
			runs[id] += n
		}
	}
	assert.Assert(c.t, len(runs) > 0)
	for id, n := range runs {
		assert.Assert(c.t, n == 1, "command %s ran %d times", id, n)
	}
}

// A planned stop interrupts no in-flight call, and the node's upstream gets no
// new calls.
func TestPlannedStop(t *testing.T) {
	c := newCluster(t)
	a, b := c.start("a1", "a"), c.start("a2", "a")
	c.apply(a)
	c.waitFor("both serve", func() bool { return a.serving(2)() && b.serving(2)() })
	l := startLoad(a)
	c.waitFor("calls are answered", func() bool { return l.answered.Load() > 200 })
	b.Stop()
	<-b.done
	before := len(b.upstream.Runs())
	answered := l.answered.Load()
	c.waitFor("calls continue to be answered", func() bool { return l.answered.Load() > answered+200 })
	l.stopAndWait()
	assert.Equal(t, len(b.upstream.Runs()), before)
	assert.Equal(t, l.interrupted.Load()+l.unknown.Load()+l.notRun.Load(), int64(0), "interrupted %d, unknown %d, not run %d", l.interrupted.Load(), l.unknown.Load(), l.notRun.Load())
	c.assertNoDoubleRuns(a.upstream, b.upstream)
	left, _ := a.Members().Member("a", "a2")
	assert.Equal(t, left.State, membership.Left)
}

// A killed node loses at most its own in-flight calls; no command runs twice,
// and the other nodes continue to serve.
func TestKilledNode(t *testing.T) {
	c := newCluster(t)
	a, b, d := c.start("a1", "a"), c.start("a2", "a"), c.start("a3", "a")
	c.apply(a)
	c.waitFor("all serve", func() bool { return a.serving(3)() && d.serving(3)() })
	l := startLoad(a, d)
	c.waitFor("calls are answered", func() bool { return l.answered.Load() > 200 })
	b.cancel()
	<-b.done
	c.waitFor("the killed node is detected", func() bool {
		member, _ := a.Members().Member("a", "a2")
		return member.Suspected || member.State == membership.Failed
	})
	answered := l.answered.Load()
	c.waitFor("calls continue to be answered", func() bool { return l.answered.Load() > answered+200 })
	l.stopAndWait()
	assert.Equal(t, l.interrupted.Load(), int64(0))
	c.assertNoDoubleRuns(a.upstream, b.upstream, d.upstream)
}

// While the platform is down, calls continue to be answered, and a node that
// starts without a configuration takes it from its peers.
func TestPlatformDown(t *testing.T) {
	c := newCluster(t)
	a, b := c.start("a1", "a"), c.start("b1", "b")
	c.apply(a)
	c.waitFor("both serve", func() bool { return a.serving(2)() && b.serving(2)() })
	c.platform.SetFaults(fakeplatform.Faults{Down: true})
	l := startLoad(a, b)
	b.cancel()
	<-b.done
	fresh := c.startWith("b1", "b", "v1", b.upstream, b.address, a.peer)
	c.waitFor("the new node serves", fresh.serving(2))
	assert.Equal(t, fresh.Holder().Number(), a.Holder().Number())
	l.stopAndWait()
	_, err := a.Operations().Apply(context.Background(), []byte(_document), "test", "apply-2", true)
	assert.ErrorContains(t, err, "platform unavailable")
	c.assertNoDoubleRuns(a.upstream, b.upstream)
}

// A zone that sees a candidate fail sends it no more calls, even though the
// platform is down and there is no controller.
func TestQuarantineWithoutThePlatform(t *testing.T) {
	c := newCluster(t)
	a, b := c.start("a1", "a"), c.start("a2", "a")
	c.startVersion("a3", "a", "v2", fakeupstream.Faults{FailRatio: 1})
	c.apply(a)
	c.commitService("mark", func(s *config.Service) {
		s.Weights = config.Split("v1", "v2", 2000)
		s.Rollout = config.RolloutRef{ID: "desk.1", Baseline: "v1", Candidate: "v2"}
	})
	c.waitFor("all serve", func() bool {
		return a.serving(3)() && b.serving(3)() && a.Members().Self().Revision == 2 && b.Members().Self().Revision == 2
	})
	c.platform.SetFaults(fakeplatform.Faults{Down: true})
	l := startLoad(a, b)
	service, _ := a.Holder().Current().Config.Service("desk")
	c.waitFor("both nodes exclude the candidate", func() bool { return excludesCandidate(a, service) && excludesCandidate(b, service) })
	time.Sleep(100 * time.Millisecond) // In-flight calls end.
	candidateCalls, answered := l.candidate.Load(), l.answered.Load()
	c.waitFor("calls continue to be answered", func() bool { return l.answered.Load() > answered+300 })
	l.stopAndWait()
	assert.Assert(t, candidateCalls > 0)
	assert.Equal(t, l.candidate.Load(), candidateCalls)
}

// excludesCandidate reports whether a node sends the rollout's candidate none
// of the calls for a service.
func excludesCandidate(r *testNode, service config.Service) bool {
	table := r.Table()
	target, ok := table.Match("", "/slips")
	if !ok {
		return false
	}
	for range 50 {
		if first, _ := r.Versions(target, service); first.Allows(service.Rollout.Candidate) {
			return false
		}
	}
	return true
}

// commitService commits a change of the service to the platform without a node.
func (c *cluster) commitService(operation string, change func(*config.Service)) {
	c.t.Helper()
	committer := revision.NewCommitter(c.platform, wire.Codec{}, revision.NewHolder())
	outcome := committer.Commit(context.Background(), time.Now(), revision.CommitRequest{
		Operation: operation,
		Change: func(_ context.Context, c config.Config) (config.Config, error) {
			service, _ := c.Service("desk")
			change(&service)
			return c.WithService(service), nil
		},
	})
	assert.Equal(c.t, outcome.Result, revision.Committed, "%v", outcome.Err)
}

// Watches that drop events, deliver them out of order or have compacted them
// delay a revision but do no other harm.
func TestUnreliableWatch(t *testing.T) {
	c := newCluster(t)
	a, b := c.start("a1", "a"), c.start("b1", "b")
	c.apply(a)
	c.waitFor("both serve", func() bool { return a.serving(2)() && b.serving(2)() })
	c.platform.SetFaults(fakeplatform.Faults{DropEvents: true})
	c.commitService("dropped", func(s *config.Service) { s.Weights = config.Split("v1", "v2", 100) })
	c.waitFor("revision 2 is in force", func() bool { return a.Members().Self().Revision == 2 && b.Members().Self().Revision == 2 })
	c.platform.SetFaults(fakeplatform.Faults{ReverseEvents: true})
	c.commitService("one", func(s *config.Service) { s.Weights = config.Split("v1", "v2", 200) })
	c.commitService("two", func(s *config.Service) { s.Weights = config.Split("v1", "v2", 300) })
	c.platform.CompactHistory()
	c.waitFor("revision 4 is in force", func() bool { return a.Members().Self().Revision == 4 && b.Members().Self().Revision == 4 })
}

// Nodes that start together overwrite each other's roster entries on the
// platform and still find each other. The last node of a zone notifies the
// other zones of its departure itself.
func TestConcurrentStartDiscovery(t *testing.T) {
	c := newCluster(t)
	var all []*testNode
	for i := range 8 {
		all = append(all, c.start(fmt.Sprint("n", i), membership.Zone(fmt.Sprint("z", i%4))))
	}
	c.apply(all[0])
	for _, n := range all {
		c.waitFor(n.id+" sees all nodes", n.serving(8))
	}
	c.nodes["n3"].Stop()
	<-c.nodes["n3"].done
	c.nodes["n7"].Stop()
	<-c.nodes["n7"].done
	c.waitFor("all nodes know that the nodes of zone z3 have left", func() bool {
		for _, id := range []membership.NodeID{"n3", "n7"} {
			if member, ok := all[0].Members().Member("z3", id); !ok || member.State != membership.Left {
				return false
			}
		}
		return true
	})
}

// A node without a configuration answers that the call was not run.
func TestNoConfiguration(t *testing.T) {
	c := newCluster(t)
	a := c.start("a1", "a")
	l := &loadGenerator{client: &http.Client{}}
	for end := time.Now().Add(_waitTimeout); l.notRun.Load() == 0 && time.Now().Before(end); {
		l.call(a, "x", true)
	}
	assert.Equal(t, l.notRun.Load(), int64(1))
	assert.Equal(t, len(a.upstream.Runs()), 0)
	l.client.CloseIdleConnections()
}

// An invalid head revision is refused as a whole and reported, and the next
// valid one is applied.
func TestInvalidHeadIsRefused(t *testing.T) {
	c := newCluster(t)
	a := c.start("a1", "a")
	c.apply(a)
	c.waitFor("the node serves", a.serving(1))
	good := a.Holder().Current()
	bad := good.Manifest
	bad.Number = 2
	bad.Entries = slices.DeleteFunc(slices.Clone(bad.Entries), func(e revision.Entry) bool { return e.Key.Kind == revision.KindVersion })
	c.writeHead(bad)
	c.waitFor("the revision is refused", func() bool { return a.Holder().Refusal().Number == 2 })
	assert.Equal(t, a.Holder().Number(), uint64(1))
	assert.Assert(t, strings.Contains(a.Holder().Refusal().Reason, `version "v1" does not exist`), a.Holder().Refusal().Reason)
	next := good.Manifest
	next.Number = 3
	c.writeHead(next)
	c.waitFor("the next valid revision is in force", func() bool { return a.Members().Self().Revision == 3 })
	assert.Equal(t, a.Holder().Refusal().Number, uint64(0))
}

// writeHead overwrites the head on the platform, without the checks of a
// committer.
func (c *cluster) writeHead(manifest revision.Manifest) {
	c.t.Helper()
	value, err := wire.Codec{}.EncodeManifest(manifest)
	assert.NilError(c.t, err)
	head, err := c.platform.Get(context.Background(), revision.HeadKey)
	assert.NilError(c.t, err)
	assert.Equal(c.t, c.platform.Update(context.Background(), revision.HeadKey, head.Version, value).Result, objectstore.Written)
}
