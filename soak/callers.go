package main

import (
	"bufio"
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
	// _maxPipelined is the upper bound of the calls that are pipelined at once, and
	// _meanPipeliningInterval the mean time between two such groups of a caller.
	_maxPipelined           = 6
	_meanPipeliningInterval = 100 * time.Millisecond
)

// Path prefixes of the routes that all configurations have, and of those that
// only one has.
const (
	_pathLookup  = "/lookups/"
	_pathCommand = "/commands/"
	_pathVersion = "/version-"
)

// _crashingName is in the paths of the calls that crash upstreams.
const _crashingName = "crashing-"

// isCrashing reports whether a call with the given path crashes upstreams.
func isCrashing(path string) bool {
	return strings.Contains(path, _crashingName)
}

// callers sends calls to all nodes, with two callers for each node, of which one
// pipelines. A caller keeps its connection open as long as the node does.
type callers struct {
	fleet     *fleet
	checker   *checker
	callCount atomic.Int64
	running   sync.WaitGroup
}

// run starts the callers, which send calls until the context ends, and clients that
// misbehave. It returns at once; c.running waits for all of them.
func (c *callers) run(ctx context.Context, seed uint64) {
	for i, v := range c.fleet.vms {
		for k := range _abusersPerNode {
			c.running.Go(func() { abuse(ctx, v, rand.New(rand.NewPCG(seed, uint64((2+k)*len(c.fleet.vms)+i)))) })
		}
		c.running.Go(func() { c.pipeline(ctx, v, rand.New(rand.NewPCG(seed, uint64(len(c.fleet.vms)+i)))) })
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

// pipeline sends groups of pipelined lookups to a node until the context ends.
func (c *callers) pipeline(ctx context.Context, v *vm, rnd *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(_meanPipeliningInterval)))
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", v.callAddress.String())
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil && c.sendPipelined(conn, reader, v, rnd) {
			time.Sleep(time.Duration(rnd.ExpFloat64() * float64(_meanPipeliningInterval)))
		}
		_ = conn.Close()
	}
}

// sendPipelined sends one group of lookups and records the responses. It reports
// whether the connection can be used again.
func (c *callers) sendPipelined(conn net.Conn, reader *bufio.Reader, v *vm, rnd *rand.Rand) bool {
	calls := make([]fakehost.Call, 1+rnd.IntN(_maxPipelined))
	for i := range calls {
		calls[i] = c.newLookup(rnd)
		c.checker.recordSend(calls[i], true, v.id)
	}
	responses, reusable := fakehost.SendPipelined(context.Background(), conn, reader, calls)
	for i, response := range responses {
		c.checker.recordResponse(calls[i].ID, response)
	}
	return reusable
}

// newLookup returns a lookup with a random key.
func (c *callers) newLookup(rnd *rand.Rand) fakehost.Call {
	return fakehost.Call{
		ID: fmt.Sprintf("c%08d", c.callCount.Add(1)), Method: http.MethodGet, Path: _pathLookup + "7", Timeout: _callTimeout,
		Key: randomKey(rnd, int(c.fleet.configVersion.Load())),
	}
}

// sendCrashing sends calls that crash upstreams to random nodes until the context
// ends. They differ only in their IDs.
func (c *callers) sendCrashing(ctx context.Context, rnd *rand.Rand) {
	name := fmt.Sprint(_crashingName, c.callCount.Add(1))
	call := fakehost.Call{Method: http.MethodGet, Path: _pathLookup + name, Timeout: _callTimeout, Key: _keyPrefix + _steady}
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
	call := c.newLookup(rnd)
	idempotent := rnd.IntN(2) == 0
	if !idempotent {
		call.Method, call.Path, call.Body = http.MethodPost, _pathCommand+"7", make([]byte, rnd.IntN(_maxBodyBytes))
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
