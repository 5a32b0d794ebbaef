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

// tally counts calls as their callers saw them.
type tally struct {
	answered int
	notRun   int
	unknown  int
	// crossed counts answers for another's request.
	crossed   int
	byVersion map[config.VersionName]int
}

func newTally() tally {
	return tally{byVersion: make(map[config.VersionName]int)}
}

func (t *tally) add(other tally) {
	t.answered += other.answered
	t.notRun += other.notRun
	t.unknown += other.unknown
	t.crossed += other.crossed
	for version, n := range other.byVersion {
		t.byVersion[version] += n
	}
}

// callers send calls at a steady rate to all nodes in turn.
type callers struct {
	mesh    *mesh
	client  *http.Client
	running sync.WaitGroup

	mu sync.Mutex
	// sinceMark counts the calls since the last mark.
	sinceMark tally
	// beforeMark counts the calls before that.
	beforeMark tally
	notRun     []string
}

const (
	// _callerTimeout bounds a call.
	_callerTimeout = 6 * time.Second
	// _commandEvery is how many calls there are for one command.
	_commandEvery = 10
	// _callerTick is the time between bundles of calls.
	_callerTick = 10 * time.Millisecond
)

func startCallers(ctx context.Context, m *mesh, rate int) *callers {
	c := &callers{
		mesh:       m,
		client:     &http.Client{Timeout: _callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		sinceMark:  newTally(),
		beforeMark: newTally(),
	}
	c.running.Go(func() { c.send(ctx, rate) })
	return c
}

func (c *callers) send(ctx context.Context, rate int) {
	ticker := time.NewTicker(_callerTick)
	defer ticker.Stop()
	began := time.Now()
	for sent := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		due := int(time.Since(began).Seconds() * float64(rate))
		for ; sent < due; sent++ {
			number := sent
			c.running.Go(func() { c.call(number) })
		}
	}
}

// call makes one call and counts its outcome.
func (c *callers) call(number int) {
	id := fmt.Sprintf("call-%d", number)
	target := "http://" + c.mesh.nodes[number%len(c.mesh.nodes)].calls.String()
	method, path := http.MethodGet, "/slips/"+id
	if number%_commandEvery == 0 {
		method, path = http.MethodPost, "/batches"
	}
	one := newTally()
	defer func() { c.count(id, method, one) }()
	request, err := http.NewRequestWithContext(context.Background(), method, target+path, strings.NewReader(id))
	if err != nil {
		one.unknown = 1
		return
	}
	request.Header.Set(fakeupstream.HeaderRequest, id)
	response, err := c.client.Do(request)
	if err != nil {
		one.unknown = 1
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil || response.Header.Get(call.HeaderOutcome) == call.Unknown.String():
		one.unknown = 1
	case response.Header.Get(call.HeaderOutcome) == call.NotRun.String():
		one.notRun = 1
	default:
		one.answered = 1
		one.byVersion[config.VersionName(response.Header.Get(fakeupstream.HeaderVersion))] = 1
		if response.Header.Get(fakeupstream.HeaderRequest) != id || response.StatusCode == http.StatusOK && string(body) != id {
			one.crossed = 1
		}
	}
}

func (c *callers) count(id, method string, one tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sinceMark.add(one)
	if one.notRun > 0 && method == http.MethodPost {
		c.notRun = append(c.notRun, id)
	}
}

// mark begins a new part of the story.
func (c *callers) mark() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeMark.add(c.sinceMark)
	c.sinceMark = newTally()
}

// shares says which versions answered since the mark.
func (c *callers) shares() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sinceMark.answered == 0 {
		return "no calls since the last line"
	}
	parts := make([]string, 0, len(c.sinceMark.byVersion))
	for version, n := range c.sinceMark.byVersion {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", version, 100*float64(n)/float64(c.sinceMark.answered)))
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s of %d calls since the last line", strings.Join(parts, ", "), c.sinceMark.answered)
}

// share returns the part of the calls since the mark that met a version.
func (c *callers) share(version config.VersionName) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sinceMark.answered == 0 {
		return 0
	}
	return float64(c.sinceMark.byVersion[version]) / float64(c.sinceMark.answered)
}

func (c *callers) total() tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := newTally()
	total.add(c.beforeMark)
	total.add(c.sinceMark)
	return total
}

func (c *callers) notRunCommands() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.notRun)
}

func (c *callers) wait() {
	c.running.Wait()
}
