package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

const (
	// _leaveGracePeriod is how long after a confirmed leave an instance may
	// still start calls, because they were already in flight.
	_leaveGracePeriod = 2500 * time.Millisecond
	// A call that has crashed _crashesToBlock instances may start at most
	// _maxLateRuns times more than _blockedWithin after the last of these crashes:
	// 3 s, and half a second for a busy machine.
	_crashesToBlock = 3
	_blockedWithin  = 3500 * time.Millisecond
	_maxLateRuns    = 3
	// _isolationGracePeriod is how long after its isolation a node may lack what
	// other nodes learned meanwhile.
	_isolationGracePeriod = 3 * time.Second
	// _maxViolations limits the number of violations that are recorded.
	_maxViolations = 40
)

// sentCall holds a call, its response and its runs at the upstreams. The
// response is valid once completed is set.
type sentCall struct {
	call       fakehost.Call
	idempotent bool
	// node is the ID of the node that the call was sent to.
	node   string
	sentAt time.Time
	// unauthorized is set if the call must be refused for its key.
	unauthorized bool
	response     fakehost.Response
	completed    bool
	runs         []fakehost.Run
}

// crashingCall counts the crashes by calls that differ only in their IDs.
type crashingCall struct {
	crashCount, lateRunCount int
	// blockedAt is when the calls must be blocked; zero before _crashesToBlock
	// crashes.
	blockedAt time.Time
}

// isolation holds the faults that keep a node out of touch with others.
type isolation struct {
	activeCount int
	// endedAt is when the last of them ended; zero if none has.
	endedAt time.Time
}

// checker compares what callers and upstreams observe with the guarantees of
// the system and records violations. It is safe for concurrent use.
type checker struct {
	mu    sync.Mutex
	calls map[string]*sentCall
	// crashing holds the calls that crash instances by the hash of the request,
	// and isolations the isolations by the ID of the node.
	crashing   map[string]*crashingCall
	isolations map[string]*isolation
	// accepted holds the newest version that each node accepted a key of.
	accepted map[string]acceptedVersion
	// responsesByStatus counts responses by HTTP status, and under 0 the calls
	// that got none.
	responsesByStatus map[int]int
	violations        []string
}

func newChecker() *checker {
	return &checker{
		calls: make(map[string]*sentCall), crashing: make(map[string]*crashingCall), isolations: make(map[string]*isolation),
		responsesByStatus: make(map[int]int), accepted: make(map[string]acceptedVersion),
	}
}

// addViolationLockedf records a violation. The caller must hold c.mu.
func (c *checker) addViolationLockedf(format string, args ...any) {
	if len(c.violations) < _maxViolations {
		c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// recordSend records a call to a node. It must be called before the call is
// sent, because a run of an unrecorded call counts as a violation.
func (c *checker) recordSend(call fakehost.Call, idempotent bool, node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.calls[call.ID] = &sentCall{
		call: call, idempotent: idempotent, node: node, sentAt: now, unauthorized: c.isUnauthorizedLocked(call, node, now),
	}
}

// recordResponse records the response that a caller received.
func (c *checker) recordResponse(id string, response fakehost.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.calls[id]
	sent.response, sent.completed = response, true
	c.responsesByStatus[response.Status]++
	if response.Mismatch != "" {
		c.addViolationLockedf("call %s: response does not match the request: %s", id, response.Mismatch)
	}
	if response.Status == http.StatusNotFound {
		c.addViolationLockedf("call %s: %s returned 404 although every configuration has the route", id, sent.call.Path)
	}
	c.checkKeyLocked(id, sent, time.Now())
	c.checkRefusalLocked(id, sent)
}

// recordRun records that an upstream instance started to run a call.
func (c *checker) recordRun(r fakehost.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, known := c.calls[r.ID]
	if !known {
		c.addViolationLockedf("call %s: run by %s but never sent by a caller", r.ID, r.Instance)
		return
	}
	if want := fakehost.HashRequest(sent.call.Method, sent.call.Path, sent.call.Body); r.RequestHash != want {
		c.addViolationLockedf("call %s: run by %s with a request that differs from the one sent", r.ID, r.Instance)
	}
	c.checkRunKeyLocked(r, sent)
	r.Headers = nil
	sent.runs = append(sent.runs, r)
	if !sent.idempotent && len(sent.runs) > 1 {
		c.addViolationLockedf("call %s: run %d times, by %s and %s", r.ID, len(sent.runs), sent.runs[0].Instance, r.Instance)
	}
	c.checkRefusalLocked(r.ID, sent)
	if r.Crashed {
		c.checkCrashLocked(r, sent)
	}
}

// checkCrashLocked records a violation if a call that crashes instances starts
// although it must have been blocked, unless the node that it was sent to has
// been isolated. The caller must hold c.mu.
func (c *checker) checkCrashLocked(r fakehost.Run, sent *sentCall) {
	crashing := c.crashing[r.RequestHash]
	if crashing == nil {
		crashing = &crashingCall{}
		c.crashing[r.RequestHash] = crashing
	}
	crashing.crashCount++
	if crashing.crashCount == _crashesToBlock {
		crashing.blockedAt = r.StartedAt.Add(_blockedWithin)
	}
	if crashing.crashCount <= _crashesToBlock || !r.StartedAt.After(crashing.blockedAt) || c.isIsolatedLocked(sent.node, r.StartedAt) {
		return
	}
	crashing.lateRunCount++
	if crashing.lateRunCount > _maxLateRuns {
		c.addViolationLockedf("call %s of %s to %s: crashed %s, the %dth later than %s after crash %d",
			r.ID, sent.call.Path, sent.node, r.Instance, crashing.lateRunCount, _blockedWithin, _crashesToBlock)
	}
}

// beginIsolation records that a fault begins to keep a node out of touch with
// others.
func (c *checker) beginIsolation(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolations[node] == nil {
		c.isolations[node] = &isolation{}
	}
	c.isolations[node].activeCount++
}

// endIsolation records that such a fault ended.
func (c *checker) endIsolation(node string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolations[node].activeCount--
	c.isolations[node].endedAt = now
}

// isIsolatedLocked reports whether a node is or was isolated within the last
// _isolationGracePeriod. The caller must hold c.mu.
func (c *checker) isIsolatedLocked(node string, now time.Time) bool {
	i := c.isolations[node]
	return i != nil && (i.activeCount > 0 || now.Sub(i.endedAt) <= _isolationGracePeriod)
}

// checkRefusalLocked records a violation if a non-idempotent call ran although
// its response says that it did not, or if any call ran that was pipelined behind
// a response that closed the connection. The caller must hold c.mu.
func (c *checker) checkRefusalLocked(id string, sent *sentCall) {
	if sent.completed && sent.response.NotRun && !sent.idempotent && len(sent.runs) > 0 {
		c.addViolationLockedf("call %s: answered %d (not run) but run by %s", id, sent.response.Status, sent.runs[0].Instance)
	}
	if sent.response.Unread && len(sent.runs) > 0 {
		c.addViolationLockedf("call %s: run by %s although %s closed the connection before it", id, sent.runs[0].Instance, sent.node)
	}
}

// checkRunsAfterLeave records a violation for each call that the instance
// started more than _leaveGracePeriod after a node confirmed its leave. A zero
// confirmedAt means that no node has confirmed it.
func (c *checker) checkRunsAfterLeave(instance string, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmedAt.IsZero() {
		return
	}
	for id, sent := range c.calls {
		for _, r := range sent.runs {
			if delay := r.StartedAt.Sub(confirmedAt); r.Instance == instance && delay > _leaveGracePeriod {
				c.addViolationLockedf("call %s: run by %s %s after its leave was confirmed", id, instance, delay)
			}
		}
	}
}

// addViolationf records a violation that was detected outside the checker.
func (c *checker) addViolationf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLockedf(format, args...)
}

// report returns the number of responses by status and the violations.
func (c *checker) report() (map[int]int, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int, len(c.responsesByStatus))
	for status, n := range c.responsesByStatus {
		counts[status] = n
	}
	return counts, append([]string(nil), c.violations...)
}

// crashCounts returns how often each call that crashes instances did so, sorted.
func (c *checker) crashCounts() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]int, 0, len(c.crashing))
	for _, call := range c.crashing {
		counts = append(counts, call.crashCount)
	}
	slices.Sort(counts)
	return counts
}
