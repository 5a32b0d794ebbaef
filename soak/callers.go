package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

const (
	// _meanCallInterval is the mean time from the end of a caller's call to its
	// next call.
	_meanCallInterval = 12 * time.Millisecond
	// _meanCrashingInterval is the mean time between two calls of a kind that
	// crashes upstreams.
	_meanCrashingInterval = 200 * time.Millisecond
	// _callTimeout is how long a caller waits for a response.
	_callTimeout = 2 * time.Second
	// _maxBodyBytes is the upper bound of a call's body size.
	_maxBodyBytes = 4 << 10
	// One in _callsPerEarlyCancel calls gets such a short timeout that its caller
	// may give up before the call ends.
	_callsPerEarlyCancel = 40
)

// Path prefixes of the routes that all configurations have.
const (
	_pathLookup  = "/lookups/"
	_pathCommand = "/commands/"
)

// _crashingName is in the paths of the calls that crash upstreams.
const _crashingName = "crashing-"

// isCrashing reports whether a call with the given path crashes upstreams.
func isCrashing(path string) bool {
	return strings.Contains(path, _crashingName)
}

// callers sends calls to all nodes, with one caller for each node. A caller
// keeps its connection open as long as the node does.
type callers struct {
	fleet     *fleet
	checker   *checker
	callCount atomic.Int64
	running   sync.WaitGroup
}

// run starts one caller for each node, which sends calls until the context
// ends. It returns at once; c.running waits for the callers.
func (c *callers) run(ctx context.Context, seed uint64) {
	for i, v := range c.fleet.vms {
		c.running.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			transport := &http.Transport{
				DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
			}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for ctx.Err() == nil {
				c.send(client, v, rnd)
				time.Sleep(time.Duration(rnd.ExpFloat64() * float64(_meanCallInterval)))
			}
		})
	}
}

// sendCrashing sends calls that crash upstreams to random nodes until the context
// ends. They differ only in their IDs.
func (c *callers) sendCrashing(ctx context.Context, rnd *rand.Rand) {
	name := fmt.Sprint(_crashingName, c.callCount.Add(1))
	call := fakehost.Call{Method: http.MethodGet, Path: _pathLookup + name, Timeout: _callTimeout}
	idempotent := rnd.IntN(2) == 0
	if !idempotent {
		call.Method, call.Path, call.Body = http.MethodPost, _pathCommand+name, make([]byte, rnd.IntN(_maxBodyBytes))
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var waiting sync.WaitGroup
	for ctx.Err() == nil {
		v := c.fleet.vms[rnd.IntN(len(c.fleet.vms))]
		repeat := call
		repeat.ID = fmt.Sprintf("c%08d", c.callCount.Add(1))
		c.checker.recordSend(repeat, idempotent, v.id)
		waiting.Go(func() {
			c.checker.recordResponse(repeat.ID, fakehost.Send(context.Background(), client, v.callAddress, repeat))
		})
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(_meanCrashingInterval)))
	}
	waiting.Wait()
}

// send sends a command or a lookup to a node and records its response.
func (c *callers) send(client *http.Client, v *vm, rnd *rand.Rand) fakehost.Response {
	call := fakehost.Call{
		ID: fmt.Sprintf("c%08d", c.callCount.Add(1)), Method: http.MethodPost, Path: _pathCommand + "7", Timeout: _callTimeout,
		Body: make([]byte, rnd.IntN(_maxBodyBytes)),
	}
	idempotent := rnd.IntN(2) == 0
	if idempotent {
		call.Method, call.Path, call.Body = http.MethodGet, _pathLookup+"7", nil
	}
	if rnd.IntN(_callsPerEarlyCancel) == 0 {
		call.Timeout = time.Duration(rnd.Int64N(int64(3 * _processingTime)))
	}
	c.checker.recordSend(call, idempotent, v.id)
	// The call ends by its own timeout, even if the run ends earlier.
	response := fakehost.Send(context.Background(), client, v.callAddress, call)
	c.checker.recordResponse(call.ID, response)
	return response
}
