package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

const (
	// _abusersPerNode is the number of clients of each node that misbehave.
	_abusersPerNode = 6
	// _maxAbuseDuration is the upper bound of the time for which such a client
	// keeps a connection.
	_maxAbuseDuration = 3 * time.Second
)

// abuses returns what clients that misbehave send on a connection. None of it is a
// call that an upstream may run.
func abuses() []string {
	request := "GET " + _pathLookup + "1 HTTP/1.1\r\nHost: " + fakehost.Host + "\r\n"
	noRoute := "GET /none HTTP/1.1\r\nHost: " + fakehost.Host + "\r\n\r\n"
	return []string{
		request,
		request + strings.Repeat("a:\r\n", 10_000),
		request + "X: " + strings.Repeat("x", 100_000),
		strings.Repeat("\r\n", 10_000),
		strings.Repeat(noRoute, 500),
		fmt.Sprintf("POST /none HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\nx", fakehost.Host, 60_000),
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + strings.Repeat("\x00", 1000),
	}
}

// abuse opens connections to a node until the context ends, one after the other,
// sends something abusive on each, and reads nothing.
func abuse(ctx context.Context, v *vm, rnd *rand.Rand) {
	kinds, dialer := abuses(), net.Dialer{Timeout: time.Second}
	for ctx.Err() == nil {
		kind, duration := kinds[rnd.IntN(len(kinds))], time.Duration(rnd.Int64N(int64(_maxAbuseDuration)))
		conn, err := dialer.DialContext(ctx, "tcp", v.callAddress.String())
		if err != nil {
			// The node is down.
			time.Sleep(_meanCallInterval)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(duration))
		_, _ = conn.Write([]byte(kind))
		time.Sleep(duration)
		_ = conn.Close()
	}
}
