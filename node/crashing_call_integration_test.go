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

	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/upstream"
)

const (
	_crashingPath = "/slips/crashing"
	_plainPath    = "/slips/plain"
	// _upstreamDowntime is how long a crashed upstream is down.
	_upstreamDowntime = 300 * time.Millisecond
	// _plainTime is how long an upstream takes for a plain call.
	_plainTime = 5 * time.Millisecond
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

	mu   sync.Mutex
	node *hostedNode
	// server is nil while the upstream is down.
	server *http.Server
	// runs holds when runs of _crashingPath began.
	runs    []time.Time
	closed  bool
	running sync.WaitGroup
}

// startCrashing starts a node with a crashingUpstream.
func (c *hostedCluster) startCrashing(id string, zone membership.Zone) *crashingUpstream {
	c.t.Helper()
	u := &crashingUpstream{t: c.t, address: "127.0.0.1:0"}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listenLocked()
	c.t.Cleanup(u.close)
	u.node = c.startNode(&hostedNode{}, id, zone, "v1", netip.MustParseAddrPort(u.address))
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
	if r.URL.Path == _crashingPath {
		u.mu.Lock()
		u.runs = append(u.runs, time.Now())
		u.mu.Unlock()
		u.crash()
		return
	}
	select {
	case <-time.After(_plainTime):
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

// newCrashCase starts nodes in two zones and waits until they serve plain calls.
func newCrashCase(t *testing.T, count int) *crashCase {
	t.Helper()
	c := &crashCase{hostedCluster: newHostedCluster(t)}
	c.configure(2, `,{"name":"slips","path-prefix":"/slips/","kind":"idempotent","timeout":"2s","service":"desk","attempts":2}`)
	for i := range count {
		c.upstreams = append(c.upstreams, c.startCrashing(fmt.Sprint("n", i), []membership.Zone{"a", "b"}[i%2]))
	}
	c.waitUntilPlainCallsAreServed()
	return c
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

// sendFor sends a call to the nodes in turn, at an interval, for a duration. It
// passes each status and when the call was sent to record, one at a time.
func (c *crashCase) sendFor(duration, interval time.Duration, path string, record func(sentAt time.Time, status int)) {
	nodes := c.nodes
	c.sending.Go(func() {
		var mu sync.Mutex
		var waiting sync.WaitGroup
		for began, i := time.Now(), 0; time.Since(began) < duration; i++ {
			waiting.Go(func() {
				sentAt := time.Now()
				status := c.get(nodes[i%len(nodes)], path)
				mu.Lock()
				defer mu.Unlock()
				record(sentAt, status)
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
	c := newCrashCase(t, 6)
	began := time.Now()
	statuses := make(map[int]int)
	c.sendFor(7*time.Second, 50*time.Millisecond, _crashingPath, func(_ time.Time, status int) { statuses[status]++ })
	var plainSent, plainServed int
	c.sendFor(7*time.Second, 20*time.Millisecond, _plainPath, func(sentAt time.Time, status int) {
		if sentAt.Sub(began) < 5*time.Second {
			return
		}
		plainSent++
		if status == http.StatusOK {
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
