package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

const (
	// _callPause is the mean time between two calls of a caller.
	_callPause = 12 * time.Millisecond
	// _callWait is how long a caller waits for an answer.
	_callWait = 2 * time.Second
	// _bodyMost bounds the body of a call, in bytes.
	_bodyMost = 4 << 10
	// _leavesEarly is one in how many calls whose caller leaves before the end.
	_leavesEarly = 40
)

// The routes that all configurations have.
const (
	_pathLookup  = "/lookups/"
	_pathCommand = "/commands/"
)

// callers send calls to all nodes. Each keeps its connection as long as the
// node does.
type callers struct {
	fleet    *fleet
	promises *promises
	number   atomic.Int64
	running  sync.WaitGroup
}

// run lets one caller of each node send calls until the context ends.
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
				time.Sleep(time.Duration(rnd.ExpFloat64() * float64(_callPause)))
			}
		})
	}
}

// send sends one call to a node.
func (c *callers) send(client *http.Client, v *vm, rnd *rand.Rand) fakehost.Response {
	call := fakehost.Call{
		ID: fmt.Sprintf("c%08d", c.number.Add(1)), Method: http.MethodPost, Path: _pathCommand + "7", Timeout: _callWait,
		Body: make([]byte, rnd.IntN(_bodyMost)),
	}
	idempotent := rnd.IntN(2) == 0
	if idempotent {
		call.Method, call.Path, call.Body = http.MethodGet, _pathLookup+"7", nil
	}
	if rnd.IntN(_leavesEarly) == 0 {
		call.Timeout = time.Duration(rnd.Int64N(int64(3 * _work)))
	}
	c.promises.sending(call, idempotent)
	// A call that has begun ends by its own time, also when the run ends.
	answer := fakehost.Send(context.Background(), client, v.calls, call)
	c.promises.answered(call.ID, answer)
	return answer
}
