package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/internal/fakes/fakestore"
	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/node"
	"lentilferry.example/lentilferry/platform"
	"lentilferry.example/lentilferry/upstream"
	"lentilferry.example/lentilferry/wire"
)

const _hostedDocument = `{"version":%d,"services":[{"name":"desk"}],
"limits":{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout":"3s","idle-timeout":"15s"},
"vhosts":[{"host":"h.example","paths":[
{"name":"batches","path-prefix":"/batches/","kind":"non_idempotent","timeout":"2s","target-latency":"500ms","priority":0,"service":"desk","attempts":2}%s]}]}`

// _drainTimeout is the longest wait for calls at a planned stop in these tests.
const _drainTimeout = time.Second

// hostedCluster is a few nodes on a stand-in of the users' platform.
type hostedCluster struct {
	t     *testing.T
	store *fakestore.Store
	base  netip.AddrPort
	nodes []*hostedNode
	ids   atomic.Int64
}

// hostedNode is a node and its upstream.
type hostedNode struct {
	*node.Node
	calls string
	// runs counts the calls that the upstream ran, by their identity.
	mu   sync.Mutex
	runs map[string]int
	// failing makes the upstream fail each call, hanging keep it unanswered.
	failing, hanging atomic.Bool
	// ownsStoreConn is where the node's calls to the store come from.
	ownsStoreConn func(remote string) bool
	// done is closed when the node has ended.
	done chan struct{}
	// id, born and seq are what the upstream says of itself.
	id                    upstream.ID
	incarnation, sequence uint64
	cancel                context.CancelFunc
	announce              func(leaving bool) upstream.Result
}

func newHostedCluster(t *testing.T, versions ...config.VersionName) *hostedCluster {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	h := &hostedCluster{t: t, store: fakestore.New()}
	server := httptest.NewServer(h.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	h.base = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	h.configure(1, "")
	for i, version := range versions {
		h.start(fmt.Sprint("n", i), "z", version)
	}
	return h
}

func (h *hostedCluster) configure(version int, more string) {
	h.store.Put("config", "main", fmt.Sprintf(_hostedDocument, version, more))
}

func (h *hostedCluster) start(id string, zone membership.Zone, version config.VersionName) *hostedNode {
	h.t.Helper()
	n := &hostedNode{runs: make(map[string]int), id: upstream.ID("i-" + id), incarnation: 1}
	server := httptest.NewServer(http.HandlerFunc(n.serveUpstream))
	h.t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	var l node.Listeners
	for _, into := range []*net.Listener{&l.Calls, &l.Peers, &l.Admin} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(h.t, err)
		*into = listener
	}
	var locals sync.Map
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			locals.Store(conn.LocalAddr().String(), true)
		}
		return conn, err
	}}
	n.ownsStoreConn = func(remote string) bool {
		_, found := locals.Load(remote)
		return found
	}
	client := platform.NewClient(h.base, transport)
	periods := node.DefaultTiming()
	periods.DrainTimeout, periods.LeaveNotice = _drainTimeout, 50*time.Millisecond
	periods.GossipInterval, periods.ZoneGossipInterval, periods.HealthCheckInterval = 50*time.Millisecond, 100*time.Millisecond, 50*time.Millisecond
	n.Node = node.New(node.Dependencies{
		ID: membership.NodeID(id), Region: "r", Zone: zone, PeerAddress: netip.MustParseAddrPort(l.Peers.Addr().String()),
		Upstream: node.Upstream{Service: "desk", Address: address, SelfAnnounced: true},
		Timing:   periods, Membership: membership.DefaultTiming(), Lease: lease.DefaultTiming(),
		Platform: client, ConfigSource: platform.NewConfigWatcher(client, wire.Codec{}), OrderStore: platform.NewOrderStore(client, klog.Logger{}),
		Dialect: platform.Headers{}, Listeners: l, Logger: klog.Logger{}, Now: time.Now,
	})
	n.calls = "http://" + l.Calls.Addr().String()
	n.announce = func(leaving bool) upstream.Result {
		n.sequence++
		return n.HandleAnnouncement(time.Now(), upstream.Announcement{
			ID: n.id, Service: "desk", Version: version, Address: address, Slots: 8, Sequence: n.sequence, Incarnation: n.incarnation, Leaving: leaving,
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	done := make(chan struct{})
	n.done = done
	go func() {
		defer close(done)
		defer transport.CloseIdleConnections()
		assert.Check(h.t, n.Run(ctx) == nil)
	}()
	h.t.Cleanup(func() {
		cancel()
		<-done
	})
	assert.Equal(h.t, n.announce(false), upstream.Accepted)
	h.nodes = append(h.nodes, n)
	return n
}

func (n *hostedNode) serveUpstream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	n.mu.Lock()
	n.runs[id]++
	n.mu.Unlock()
	if n.hanging.Load() {
		select {
		case <-r.Context().Done():
		case <-time.After(_waitTimeout):
		}
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Seal", "s")
	if n.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (n *hostedNode) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.runs)
}

// call sends one call through a node and returns its status.
func (h *hostedCluster) call(n *hostedNode, path string) int {
	h.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, n.calls+path, strings.NewReader("b"))
	assert.NilError(h.t, err)
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprint("a", h.ids.Add(1)))
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := _hostedCaller.Do(request)
	if err != nil {
		// The node has cut the call.
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

var _hostedCaller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// callUntil sends calls through all nodes callUntil something holds.
func (h *hostedCluster) callUntil(what string, holds func() bool) {
	h.t.Helper()
	for end := time.Now().Add(_waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(h.t, time.Now().Before(end), "not in %s: %s", _waitTimeout, what)
		for _, n := range h.nodes {
			h.call(n, "/batches/1")
		}
	}
}

func (h *hostedCluster) serving(upstreams int) func() bool {
	return func() bool {
		for _, n := range h.nodes {
			count := 0
			for _, m := range n.Members().Members() {
				if m.State.AcceptsCalls() {
					count++
				}
			}
			if count != upstreams || n.Table() == nil {
				return false
			}
		}
		return true
	}
}

// rosterSize returns how many nodes of zone z the store names as first contacts.
func (h *hostedCluster) rosterSize() int {
	object, _ := h.store.Get("lentilferry-roster", "z")
	var spec struct {
		Value []byte `json:"value"`
	}
	if json.Unmarshal(object.Spec, &spec) != nil {
		return 0
	}
	peers, err := wire.UnmarshalRoster(spec.Value)
	assert.NilError(h.t, err)
	return len(peers)
}

// The whole path: nodes find each other, take the operator's configuration and
// what upstreams announce, and serve; a change is in force on all of them; one
// whose leaving was confirmed gets nothing more; no call runs twice.
func TestHostedEndToEnd(t *testing.T) {
	h := newHostedCluster(t, "v1", "v1", "v1", "v1")
	h.callUntil("all serve", h.serving(4))
	for _, n := range h.nodes {
		assert.Equal(t, h.call(n, "/batches/1"), http.StatusOK)
		assert.Equal(t, h.call(n, "/slips/1"), http.StatusNotFound)
	}
	h.configure(2, `,{"name":"slips","path-prefix":"/slips/","kind":"idempotent","timeout":"2s","service":"desk","attempts":2}`)
	h.callUntil("a route that was added is served by all", func() bool {
		for _, n := range h.nodes {
			if h.call(n, "/slips/1") != http.StatusOK {
				return false
			}
		}
		return true
	})
	leaving := h.nodes[0]
	assert.Equal(t, leaving.announce(true), upstream.Accepted)
	before := leaving.callCount()
	for range 20 {
		for _, n := range h.nodes {
			assert.Equal(t, h.call(n, "/batches/1"), http.StatusOK)
		}
	}
	assert.Equal(t, leaving.callCount(), before)
	for _, n := range h.nodes {
		for id, runs := range n.runs {
			assert.Equal(t, runs, 1, "call %s", id)
		}
	}
}

// A bad version is out of all traffic though its pilot can't store that, and
// the operator reads it once the store is back.
func TestHostedQuarantineWithoutStore(t *testing.T) {
	h := newHostedCluster(t, "v1", "v1", "v1")
	h.callUntil("all serve", h.serving(3))
	h.store.Put("rollouts", "desk", `{"service":"desk","target-version":"v2","duration":"30s"}`)
	bad := h.start("bad", "z", "v2")
	bad.failing.Store(true)
	h.callUntil("the version has a share", func() bool { return bad.callCount() > 0 })
	h.store.SetFaults(fakestore.Faults{Status: http.StatusServiceUnavailable})
	last, since := 0, time.Now()
	h.callUntil("the version gets nothing for a second", func() bool {
		if ran := bad.callCount(); ran != last {
			last, since = ran, time.Now()
		}
		return time.Since(since) > time.Second
	})
	assert.Assert(t, last < 100, "%d calls met the version", last)
	h.store.SetFaults(fakestore.Faults{})
	h.callUntil("the operator reads that it was taken back", func() bool {
		object, _ := h.store.Get("rollouts", "desk")
		var status struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(object.Status, &status)
		return status.State == "reverted"
	})
	assert.Equal(t, bad.callCount(), last)
}

// A zone whose followers the store turns away, or which only read what lags,
// takes a change from the followers of other zones.
func TestHostedChangeReachesZoneWithoutStore(t *testing.T) {
	h := newHostedCluster(t)
	zones := []membership.Zone{"a", "b", "c"}
	for i := range 9 {
		h.start(fmt.Sprint("n", i), zones[i%len(zones)], "v1")
	}
	h.callUntil("all serve", h.serving(9))
	h.store.SetFaults(fakestore.Faults{StaleReadLag: time.Minute, RefuseFrom: func(remote string) bool {
		for i, n := range h.nodes {
			if zones[i%len(zones)] == "b" && n.ownsStoreConn(remote) {
				return true
			}
		}
		return false
	}})
	changed := time.Now()
	h.configure(2, `,{"name":"slips","path-prefix":"/slips/","kind":"idempotent","timeout":"2s","service":"desk","attempts":2}`)
	h.callUntil("all have the change", func() bool {
		for _, n := range h.nodes {
			if len(n.Holder().Current().Config.Routes) < 2 {
				return false
			}
		}
		return true
	})
	assert.Assert(t, time.Since(changed) < 2500*time.Millisecond, "took %s", time.Since(changed))
}

// Of a zone only one node reads at the full price, and few keep the rosters.
func TestHostedStoreCallLimit(t *testing.T) {
	h := newHostedCluster(t)
	for i := range 12 {
		h.start(fmt.Sprint("n", i), "a", "v1")
	}
	h.callUntil("all serve", h.serving(12))
	full, lagging := h.store.Calls()
	// A node that has just started reads what may lag, if it reads at all.
	assert.Assert(t, full <= 15, "%d calls at the full price to start", full)
	for i := range 10 {
		h.configure(i+2, "")
		time.Sleep(300 * time.Millisecond)
	}
	fullThen, laggingThen := h.store.Calls()
	// One follower reads each change, and may wait twice in the meantime; a
	// relay may look at the rosters.
	assert.Assert(t, fullThen-full <= 20, "%d calls at the full price", fullThen-full)
	assert.Assert(t, laggingThen-lagging <= 40, "%d calls that may lag", laggingThen-lagging)
}

// A planned stop that waits for a call in vain, among peers that do not
// answer, ends half a second after the time that calls have: the platform
// leaves little more.
func TestHostedStopMeetsDeadline(t *testing.T) {
	h := newHostedCluster(t, "v1")
	n := h.nodes[0]
	h.callUntil("it serves", h.serving(1))
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	for i := range 8 {
		n.Members().Merge(time.Now(), membership.Member{
			ID: membership.NodeID(fmt.Sprint("silent-", i)), Incarnation: 1, State: membership.Serving, Region: "r", Zone: "z",
			PeerAddress: netip.MustParseAddrPort(silent.Addr().String()),
		})
	}
	n.hanging.Store(true)
	ran := n.callCount()
	var calling sync.WaitGroup
	calling.Go(func() {
		for n.callCount() == ran {
			t.Log("answered", h.call(n, "/batches/1"))
		}
	})
	for end := time.Now().Add(_waitTimeout); n.callCount() == ran; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no call was run")
	}
	began := time.Now()
	n.Stop()
	<-n.done
	assert.Assert(t, time.Since(began) < _drainTimeout+500*time.Millisecond, "took %s", time.Since(began))
	calling.Wait()
}

// An upstream departs, which its node confirms; the node restarts; a heartbeat
// from before the departure comes late. The confirmation still binds: no call
// may be run there.
func TestHostedDepartureSurvivesRestart(t *testing.T) {
	h := newHostedCluster(t, "v1", "v1")
	h.callUntil("both serve", h.serving(2))
	h.callUntil("both can be found", func() bool { return h.rosterSize() == 2 })
	first := h.nodes[0]
	assert.Equal(t, first.HandleDeparture(time.Now(), "i-n0"), upstream.Accepted)
	// The process ends at the moment of the confirmation.
	first.cancel()
	<-first.done
	// The first announcement of a node started here stands for the late one.
	restarted := h.start("n0", "z", "v1")
	for began := time.Now(); time.Since(began) < 2500*time.Millisecond; {
		h.call(h.nodes[1], "/batches/1")
		h.call(restarted, "/batches/1")
	}
	assert.Equal(t, restarted.callCount(), 0)
	// The next process of the upstream takes work at once.
	restarted.incarnation++
	assert.Equal(t, restarted.announce(false), upstream.Accepted)
	h.callUntil("its next process serves", func() bool { return restarted.callCount() > 0 })
}

// A departure that a node hears of before anything else of that process binds
// too.
func TestHostedDepartureOfAnUnknownProcess(t *testing.T) {
	h := newHostedCluster(t, "v1")
	h.callUntil("it serves", h.serving(1))
	n := h.nodes[0]
	assert.Equal(t, n.HandleDeparture(time.Now(), "i-other"), upstream.Stale)
	n.id, n.sequence, n.incarnation = "i-other", 7, 2
	assert.Equal(t, n.announce(false), upstream.Accepted)
	ran := n.callCount()
	for range 50 {
		h.call(n, "/batches/1")
	}
	assert.Equal(t, n.callCount(), ran)
	n.sequence, n.incarnation = 0, 3
	assert.Equal(t, n.announce(false), upstream.Accepted)
	h.callUntil("the next process of that name serves", func() bool { return n.callCount() > ran })
}

// A node that has the configuration and hears its upstream, but no other node
// yet, lets no call through for a moment: others may remember a departure.
func TestHostedStartWaitsForPeers(t *testing.T) {
	began := time.Now()
	h := newHostedCluster(t, "v1")
	h.callUntil("it serves", func() bool { return h.nodes[0].callCount() > 0 })
	assert.Assert(t, time.Since(began) >= time.Second, "served after %s", time.Since(began))
	assert.Assert(t, time.Since(began) < 3*time.Second, "served after %s", time.Since(began))
}
