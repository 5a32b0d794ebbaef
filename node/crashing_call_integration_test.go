package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/upstream"
)

const (
	_crashingPath = "/slips/crashing"
	_plainPath    = "/slips/plain"
	_slowPath     = "/slips/slow"
	_longPath     = "/slips/long"
	// _upstreamDowntime is how long a crashed upstream is down.
	_upstreamDowntime = 300 * time.Millisecond
	// _plainTime, _slowTime and _longTime are how long an upstream takes for a
	// call.
	_plainTime = 5 * time.Millisecond
	_slowTime  = 300 * time.Millisecond
	_longTime  = time.Second
	// After _crashesToBlock crashes and then _blockedWithin, a call may reach
	// upstreams _maxLateRuns times more.
	_crashesToBlock = 3
	_blockedWithin  = 3 * time.Second
	_maxLateRuns    = 3
)

// crashingUpstream is the upstream of a node. When it begins to run a call of
// _crashingPath it crashes: its listener and connections close, and a new
// process starts on the same address after _upstreamDowntime.
type crashingUpstream struct {
	t       *testing.T
	address string
	// immune makes it answer the calls of _crashingPath.
	immune bool

	mu   sync.Mutex
	node *hostedNode
	// server is nil while the upstream is down.
	server *http.Server
	// runs holds when runs of _crashingPath began.
	runs    []time.Time
	closed  bool
	running sync.WaitGroup
}

// startCrashing starts a node with a crashingUpstream of version v1.
func (c *hostedCluster) startCrashing(id string, zone membership.Zone) *crashingUpstream {
	c.t.Helper()
	return c.startUpstream(&crashingUpstream{t: c.t, address: "127.0.0.1:0"}, id, zone, "v1")
}

// startUpstream starts a node with an upstream of the given version.
func (c *hostedCluster) startUpstream(u *crashingUpstream, id string, zone membership.Zone, version config.VersionName) *crashingUpstream {
	c.t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listenLocked()
	c.t.Cleanup(u.close)
	u.node = c.startNode(&hostedNode{}, id, zone, version, netip.MustParseAddrPort(u.address))
	return u
}

// listenLocked starts the upstream's process. The caller must hold u.mu.
func (u *crashingUpstream) listenLocked() {
	listener, err := net.Listen("tcp", u.address)
	if !assert.Check(u.t, err) {
		return
	}
	u.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	u.server = server
	u.running.Go(func() { _ = server.Serve(listener) })
}

func (u *crashingUpstream) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	takes := _plainTime
	switch r.URL.Path {
	case _slowPath:
		takes = _slowTime
	case _longPath:
		takes = _longTime
	case _crashingPath:
		u.mu.Lock()
		u.runs = append(u.runs, time.Now())
		u.mu.Unlock()
		if !u.immune {
			u.crash()
			return
		}
	}
	select {
	case <-time.After(takes):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Seal", "s")
}

// crash ends the upstream's process and starts the next one after
// _upstreamDowntime.
func (u *crashingUpstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server == nil || u.closed {
		return
	}
	_ = u.server.Close()
	u.server = nil
	u.running.Go(func() {
		time.Sleep(_upstreamDowntime)
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.closed {
			return
		}
		u.listenLocked()
		n := u.node
		n.incarnation++
		n.id, n.sequence = upstream.ID(fmt.Sprint("i-", u.address, "-", n.incarnation)), 0
		assert.Check(u.t, n.announce(false) == upstream.Accepted)
	})
}

func (u *crashingUpstream) close() {
	u.mu.Lock()
	u.closed = true
	if u.server != nil {
		_ = u.server.Close()
	}
	u.mu.Unlock()
	u.running.Wait()
}

// crashCase is a cluster whose upstreams crash.
type crashCase struct {
	*hostedCluster
	upstreams []*crashingUpstream
	sending   sync.WaitGroup
}

// newCrashCase starts six nodes in two zones and waits until they serve plain calls.
func newCrashCase(t *testing.T) *crashCase {
	t.Helper()
	c := &crashCase{hostedCluster: newHostedCluster(t)}
	c.startAll()
	return c
}

// startAll starts six nodes in two zones and waits until they serve plain calls.
func (c *crashCase) startAll() {
	c.t.Helper()
	c.configure(2, `,{"name":"slips","path-prefix":"/slips/","kind":"idempotent","timeout":"2s","service":"desk","attempts":2}`)
	for i := range 6 {
		c.upstreams = append(c.upstreams, c.startCrashing(fmt.Sprint("n", i), []membership.Zone{"a", "b"}[i%2]))
	}
	c.waitUntilPlainCallsAreServed()
}

// get sends a call, always with the same body, through a node and returns its
// status, or 0 if there was no response.
func (c *crashCase) get(n *hostedNode, path string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, n.calls+path, strings.NewReader("b"))
	if !assert.Check(c.t, err) {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprint("a", c.ids.Add(1)))
	request.Header.Set("X-Deadline-Ms", "2000")
	response, err := _hostedCaller.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// crashCaseCall is a call that has ended.
type crashCaseCall struct {
	node            *hostedNode
	sentAt, endedAt time.Time
	// status is 0 if there was no response.
	status int
}

// sendFor sends a call to the nodes in turn, at an interval, for a duration. It
// passes each to record when it has ended, one at a time.
func (c *crashCase) sendFor(duration, interval time.Duration, path string, record func(crashCaseCall)) {
	nodes := c.nodes
	c.sending.Go(func() {
		var mu sync.Mutex
		var waiting sync.WaitGroup
		for began, i := time.Now(), 0; time.Since(began) < duration; i++ {
			waiting.Go(func() {
				call := crashCaseCall{node: nodes[i%len(nodes)], sentAt: time.Now()}
				call.status = c.get(call.node, path)
				call.endedAt = time.Now()
				mu.Lock()
				defer mu.Unlock()
				record(call)
			})
			time.Sleep(interval)
		}
		waiting.Wait()
	})
}

// waitUntilPlainCallsAreServed waits until all nodes serve plain calls.
func (c *crashCase) waitUntilPlainCallsAreServed() {
	c.t.Helper()
	c.callUntil("plain calls are served", func() bool {
		for _, n := range c.nodes {
			if c.get(n, _plainPath) != http.StatusOK {
				return false
			}
		}
		return c.serving(len(c.upstreams))()
	})
}

// runTimes returns when upstreams began to run the crashing call, in order.
func (c *crashCase) runTimes() []time.Time {
	var times []time.Time
	for _, u := range c.upstreams {
		u.mu.Lock()
		times = append(times, u.runs...)
		u.mu.Unlock()
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

func TestCallThatCrashesUpstreamsReachesFewOfThem(t *testing.T) {
	c := newCrashCase(t)
	began := time.Now()
	statuses := make(map[int]int)
	c.sendFor(7*time.Second, 50*time.Millisecond, _crashingPath, func(call crashCaseCall) { statuses[call.status]++ })
	var plainSent, plainServed int
	c.sendFor(7*time.Second, 20*time.Millisecond, _plainPath, func(call crashCaseCall) {
		if call.sentAt.Sub(began) < 5*time.Second {
			return
		}
		plainSent++
		if call.status == http.StatusOK {
			plainServed++
		}
	})
	c.sending.Wait()
	runs := c.runTimes()
	assert.Assert(t, len(runs) >= _crashesToBlock, "%d crashes", len(runs))
	late := 0
	for _, at := range runs {
		if at.Sub(runs[_crashesToBlock-1]) > _blockedWithin {
			late++
		}
	}
	t.Logf("%d crashes, %d of them late; statuses of the crashing call %v; %d of %d late plain calls served", len(runs), late, statuses, plainServed, plainSent)
	assert.Check(t, late <= _maxLateRuns, "%d runs later than %s after crash %d", late, _blockedWithin, _crashesToBlock)
	assert.Check(t, plainServed*10 >= plainSent*9, "%d of %d plain calls served", plainServed, plainSent)
	c.waitUntilPlainCallsAreServed()
}

func TestCallsBesideCrashesAreNotBlocked(t *testing.T) {
	const crashesLast = 4 * time.Second
	inTurn := func(c *crashCase) {
		for i, began := 0, time.Now(); time.Since(began) < crashesLast; i++ {
			c.upstreams[i%len(c.upstreams)].crash()
			time.Sleep(150 * time.Millisecond)
		}
	}
	atOnce := func(c *crashCase) {
		for began := time.Now(); time.Since(began) < crashesLast; {
			for _, u := range c.upstreams {
				u.crash()
			}
			time.Sleep(time.Second)
		}
	}
	for name, test := range map[string]struct {
		path     string
		interval time.Duration
		crash    func(*crashCase)
		// minServed is the share of the calls that must be served while upstreams
		// crash, and maxGap the longest time in which a node may serve none.
		minServed float64
		maxGap    time.Duration
		// servedWithin is how long after the last crash all calls must be served.
		servedWithin time.Duration
	}{
		"short calls, crashes in turn":               {_plainPath, 2 * time.Millisecond, inTurn, 0.95, 500 * time.Millisecond, time.Second},
		"slow calls, crashes in turn":                {_slowPath, 20 * time.Millisecond, inTurn, 0.6, 1500 * time.Millisecond, time.Second},
		"slow calls, crashes at once":                {_slowPath, 20 * time.Millisecond, atOnce, 0.35, 1500 * time.Millisecond, time.Second},
		"calls that take longer than upstreams last": {_longPath, 50 * time.Millisecond, atOnce, 0, crashesLast + 3*time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashCase(t)
			began := time.Now()
			var sent, served, refused, sentAfter, servedAfter int
			var longest time.Duration
			servedAt := make(map[*hostedNode]time.Time)
			for _, n := range c.nodes {
				servedAt[n] = began
			}
			c.sendFor(crashesLast+test.servedWithin+time.Second, test.interval, test.path, func(call crashCaseCall) {
				isServed := call.status == http.StatusOK
				if isServed {
					longest = max(longest, call.endedAt.Sub(servedAt[call.node]))
					servedAt[call.node] = call.endedAt
				}
				switch after := call.sentAt.Sub(began); {
				case after < crashesLast:
					sent++
					if isServed {
						served++
					}
					if call.status == http.StatusServiceUnavailable {
						refused++
					}
				case after > crashesLast+test.servedWithin:
					sentAfter++
					if isServed {
						servedAfter++
					}
				}
			})
			test.crash(c)
			c.sending.Wait()
			for _, at := range servedAt {
				longest = max(longest, time.Since(at))
			}
			t.Logf("%d of %d served and %d refused; longest gap of a node %s; afterwards %d of %d served", served, sent, refused, longest, servedAfter, sentAfter)
			assert.Check(t, float64(served) >= test.minServed*float64(sent), "%d of %d calls served while upstreams crash", served, sent)
			assert.Check(t, longest <= test.maxGap, "a node served no call for %s", longest)
			assert.Check(t, servedAfter == sentAfter, "%d of %d calls served after the crashes", servedAfter, sentAfter)
		})
	}
}

func TestSlowCallsBesideCrashingCallAreServed(t *testing.T) {
	c := newCrashCase(t)
	began := time.Now()
	c.sendFor(8*time.Second, 100*time.Millisecond, _crashingPath, func(crashCaseCall) {})
	var sent, served int
	c.sendFor(8*time.Second, 20*time.Millisecond, _slowPath, func(call crashCaseCall) {
		if call.sentAt.Sub(began) < 4*time.Second {
			return
		}
		sent++
		if call.status == http.StatusOK {
			served++
		}
	})
	c.sending.Wait()
	assert.Check(t, served*20 >= sent*19, "%d of %d slow calls served", served, sent)
}

func TestRestartedNodeKnowsBlockedCalls(t *testing.T) {
	c := newCrashCase(t)
	sendFor := func(d time.Duration) {
		c.sendFor(d, 50*time.Millisecond, _crashingPath, func(crashCaseCall) {})
		c.sending.Wait()
	}
	sendFor(4 * time.Second)
	crashed := len(c.runTimes())
	assert.Assert(t, crashed >= _crashesToBlock, "%d crashes", crashed)
	for _, u := range c.upstreams[:2] {
		u.node.cancel()
		<-u.node.done
	}
	c.nodes = c.nodes[2:]
	for _, id := range []string{"n0", "new"} {
		c.upstreams = append(c.upstreams, c.startCrashing(id, "a"))
	}
	c.callUntil("the started nodes see the others", c.serving(6))
	c.nodes = c.nodes[4:]
	sendFor(4 * time.Second)
	late := len(c.runTimes()) - crashed
	assert.Check(t, late <= _maxLateRuns, "%d runs of calls that were sent to the started nodes", late)
}

func TestCrashingCallIsServedByAnotherVersion(t *testing.T) {
	c := newCrashCase(t)
	c.sendFor(2*time.Second, 50*time.Millisecond, _crashingPath, func(crashCaseCall) {})
	c.sending.Wait()
	crashed := len(c.runTimes())
	assert.Assert(t, crashed >= _crashesToBlock, "%d crashes", crashed)
	for _, id := range []string{"new0", "new1"} {
		c.startUpstream(&crashingUpstream{t: t, address: "127.0.0.1:0", immune: true}, id, "a", "v2")
	}
	c.callUntil("all know the new version", c.serving(8))
	c.store.Put("rollouts", "desk", `{"service":"desk","target-version":"v2","duration":"4s"}`)
	c.callUntil("the move is complete", func() bool { return c.orderState() == "complete" })
	var sent, served int
	c.sendFor(2*time.Second, 50*time.Millisecond, _crashingPath, func(call crashCaseCall) {
		sent++
		if call.status == http.StatusOK {
			served++
		}
	})
	c.sending.Wait()
	t.Logf("%d of %d served by the new version; %d runs of the old one", served, sent, len(c.runTimes()))
	assert.Equal(t, served, sent)
}
