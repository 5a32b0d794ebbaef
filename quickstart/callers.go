package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/internal/fakes/fakeupstream"
)

// tally counts calls by the outcome that their callers saw.
type tally struct {
	answered int
	notRun   int
	unknown  int
	// mismatched counts responses that belong to another request. They are also
	// counted as answered.
	mismatched int
	// byVersion counts the answered calls by upstream version.
	byVersion map[config.VersionName]int
}

func newTally() tally {
	return tally{byVersion: make(map[config.VersionName]int)}
}

func (t *tally) add(other tally) {
	t.answered += other.answered
	t.notRun += other.notRun
	t.unknown += other.unknown
	t.mismatched += other.mismatched
	for version, n := range other.byVersion {
		t.byVersion[version] += n
	}
}

// callers sends calls to all nodes in turn at a constant rate and counts their
// outcomes.
type callers struct {
	mesh    *mesh
	client  *http.Client
	running sync.WaitGroup

	mu sync.Mutex
	// currentTally counts the calls since the last call of startInterval.
	currentTally tally
	// earlierTally counts the calls of the previous intervals.
	earlierTally tally
	// notRunIDs holds the IDs of commands whose outcome was not run.
	notRunIDs []string
}

const (
	// _callTimeout is the client timeout of a call.
	_callTimeout = 6 * time.Second
	// One in _callsPerCommand calls is a command; the others are lookups.
	_callsPerCommand = 10
	// _sendInterval is the time between two batches of calls.
	_sendInterval = 10 * time.Millisecond
)

// startCallers sends the given number of calls per second until the context
// ends.
func startCallers(ctx context.Context, m *mesh, rate int) *callers {
	c := &callers{
		mesh:         m,
		client:       &http.Client{Timeout: _callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		currentTally: newTally(),
		earlierTally: newTally(),
	}
	c.running.Go(func() { c.send(ctx, rate) })
	return c
}

// send starts the calls that are due at each tick until the context ends.
func (c *callers) send(ctx context.Context, rate int) {
	ticker := time.NewTicker(_sendInterval)
	defer ticker.Stop()
	start := time.Now()
	for sent := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		due := int(time.Since(start).Seconds() * float64(rate))
		for ; sent < due; sent++ {
			index := sent
			c.running.Go(func() { c.call(index) })
		}
	}
}

// call sends one call and records its outcome.
func (c *callers) call(index int) {
	id := fmt.Sprintf("call-%d", index)
	target := "http://" + c.mesh.nodes[index%len(c.mesh.nodes)].callAddress.String()
	method, path := http.MethodGet, "/slips/"+id
	if index%_callsPerCommand == 0 {
		method, path = http.MethodPost, "/batches"
	}
	outcome := newTally()
	defer func() { c.record(id, method, outcome) }()
	request, err := http.NewRequestWithContext(context.Background(), method, target+path, strings.NewReader(id))
	if err != nil {
		outcome.unknown = 1
		return
	}
	request.Header.Set(fakeupstream.HeaderRequest, id)
	response, err := c.client.Do(request)
	if err != nil {
		outcome.unknown = 1
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil || response.Header.Get(call.HeaderOutcome) == call.Unknown.String():
		outcome.unknown = 1
	case response.Header.Get(call.HeaderOutcome) == call.NotRun.String():
		outcome.notRun = 1
	default:
		outcome.answered = 1
		outcome.byVersion[config.VersionName(response.Header.Get(fakeupstream.HeaderVersion))] = 1
		if response.Header.Get(fakeupstream.HeaderRequest) != id || response.StatusCode == http.StatusOK && string(body) != id {
			outcome.mismatched = 1
		}
	}
}

// record adds a call's outcome to the tally of the current interval.
func (c *callers) record(id, method string, outcome tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentTally.add(outcome)
	if outcome.notRun > 0 && method == http.MethodPost {
		c.notRunIDs = append(c.notRunIDs, id)
	}
}

// startInterval starts a new interval for the version shares.
func (c *callers) startInterval() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earlierTally.add(c.currentTally)
	c.currentTally = newTally()
}

// describeVersionShares describes the share of answered calls by version in the
// current interval, which begins at the previous line of output.
func (c *callers) describeVersionShares() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentTally.answered == 0 {
		return "no calls answered since the last line"
	}
	parts := make([]string, 0, len(c.currentTally.byVersion))
	for version, n := range c.currentTally.byVersion {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", version, 100*float64(n)/float64(c.currentTally.answered)))
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s of %d calls since the last line", strings.Join(parts, ", "), c.currentTally.answered)
}

// versionShare returns the share of the version in the answered calls of the
// current interval, from 0 to 1.
func (c *callers) versionShare(version config.VersionName) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentTally.answered == 0 {
		return 0
	}
	return float64(c.currentTally.byVersion[version]) / float64(c.currentTally.answered)
}

// total returns the tally of all intervals.
func (c *callers) total() tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := newTally()
	total.add(c.earlierTally)
	total.add(c.currentTally)
	return total
}

// notRunCommands returns the IDs of the commands whose outcome was not run.
func (c *callers) notRunCommands() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.notRunIDs)
}

// wait waits until all calls have ended.
func (c *callers) wait() {
	c.running.Wait()
}
