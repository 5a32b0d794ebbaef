package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/control"
	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/internal/fakes/fakestore"
)

// exchange sends a request as written on a connection of its own and returns
// the status of the complete answer, 0 if there is none.
func (c *hostedCluster) exchange(n *hostedNode, request string) int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.calls, "http://"))
	assert.Check(c.t, err)
	defer func() { _ = conn.Close() }()
	assert.Check(c.t, conn.SetDeadline(time.Now().Add(_waitTimeout)))
	_, err = io.WriteString(conn, request)
	assert.Check(c.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// request returns a request of which only a part of the body is sent, as the
// headers say.
func (c *hostedCluster) request(headers, body string) string {
	return fmt.Sprintf("POST /batches/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a%d\r\nX-Deadline-Ms: 3000\r\n%s\r\n\r\n%s",
		c.ids.Add(1), headers, body)
}

// waitUntil waits until a condition holds, and sends no calls meanwhile.
func (c *hostedCluster) waitUntil(condition string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(_waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(c.t, time.Now().Before(end), "not met within %s: %s", _waitTimeout, condition)
	}
}

// startPair starts a node that callers use and, if remote is set, another one
// whose upstream alone takes calls, and lets one call be served, which runs for
// the given time. It returns these two, and the one of them that is to be stopped.
func (c *hostedCluster) startPair(remote, ownerStops bool, takes time.Duration) (caller, serving, stopping *hostedNode) {
	c.t.Helper()
	caller = c.start("n0", "z", "v1")
	serving, stopping = caller, caller
	if remote {
		serving = c.start("n1", "z", "v1")
	}
	c.waitUntil("all serve", c.serving(len(c.nodes)))
	if remote {
		caller.announce(true)
		c.waitUntil("one upstream takes calls", c.serving(1))
	}
	if ownerStops {
		stopping = serving
	}
	serving.takes.Store(int64(takes))
	c.waitUntil("a call is served", func() bool { return c.call(caller, "/batches/1") == http.StatusOK })
	return caller, serving, stopping
}

// Calls that a planned stop interrupts are answered, on every way to the
// upstream and however slowly their bodies come.
func TestCallCutAtEndOfStopIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name string
		// remote is set if another node owns the upstream, and ownerStops if that
		// one is stopped.
		remote, ownerStops bool
		headers, body      string
	}{
		{"own upstream", false, false, "Content-Length: 1", "b"},
		{"upstream of another node", true, false, "Content-Length: 1", "b"},
		{"owner stops", true, true, "Content-Length: 1", "b"},
		{"slow short body", false, false, "Content-Length: 9", "b"},
		{"slow long body", false, false, "Content-Length: 90000", "b"},
		{"slow body without a length", false, false, "Transfer-Encoding: chunked", "1\r\nb\r\n"},
		{"slow short body to another node", true, false, "Content-Length: 9", "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newHostedCluster(t)
			caller, serving, stopping := c.startPair(test.remote, test.ownerStops, 0)
			serving.hanging.Store(true)
			status := make(chan int, 1)
			go func() { status <- c.exchange(caller, c.request(test.headers, test.body)) }()
			time.Sleep(200 * time.Millisecond)
			began := time.Now()
			stopping.Stop()
			assert.Equal(t, <-status, http.StatusBadGateway)
			took := time.Since(began)
			<-stopping.done
			assert.Assert(t, took >= _drainTimeout-10*time.Millisecond, "interrupted after %s", took)
			assert.Assert(t, time.Since(began) < _drainTimeout+600*time.Millisecond, "stopped after %s", time.Since(began))
		})
	}
}

// A call is not sent to an upstream that usually takes longer for it than a
// planned stop leaves.
func TestCallTakenLateInStopIsCut(t *testing.T) {
	for _, test := range []struct {
		name               string
		remote, ownerStops bool
		takes              time.Duration
		status             int
	}{
		{"own upstream", false, false, 900 * time.Millisecond, http.StatusServiceUnavailable},
		{"upstream of another node", true, false, 900 * time.Millisecond, http.StatusServiceUnavailable},
		{"owner stops", true, true, 900 * time.Millisecond, http.StatusServiceUnavailable},
		{"enough time is left", false, false, 200 * time.Millisecond, http.StatusOK},
		{"enough time is left at the owner", true, true, 200 * time.Millisecond, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newHostedCluster(t)
			c.leaveNotice = 900 * time.Millisecond
			caller, serving, stopping := c.startPair(test.remote, test.ownerStops, test.takes)
			ran := serving.callCount()
			stopping.Stop()
			time.Sleep(150 * time.Millisecond)
			assert.Equal(t, c.call(caller, "/batches/1"), test.status)
			assert.Equal(t, serving.callCount() > ran, test.status == http.StatusOK)
			<-stopping.done
		})
	}
}

// A planned stop doesn't wait for a platform that is silent.
func TestStopOutlastsItsTimeWithSilentPlatform(t *testing.T) {
	c := newCluster(t)
	c.drainTimeout = 700 * time.Millisecond
	n := c.start("a1", "a")
	c.apply(n)
	c.waitFor("the node serves", n.serving(1))
	c.waitFor("the node holds the lease", func() bool {
		_, err := c.platform.Get(context.Background(), control.LeaseKey)
		return err == nil
	})
	c.platform.SetFaults(fakeplatform.Faults{Delay: _waitTimeout})
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	n.Stop()
	<-n.done
	assert.Assert(t, time.Since(began) < c.drainTimeout+600*time.Millisecond, "stopped after %s", time.Since(began))
}

// Nor does a node of the users' platform wait for a silent store, whether it is
// starting up or serves.
func TestHostedStopWithSilentStoreMeetsDeadline(t *testing.T) {
	for _, startsUp := range []bool{true, false} {
		t.Run(fmt.Sprintf("startsUp=%t", startsUp), func(t *testing.T) {
			c := newHostedCluster(t)
			hang := func() { c.store.SetFaults(fakestore.Faults{Hang: true}) }
			if startsUp {
				hang()
			}
			n := c.start("n0", "z", "v1")
			if !startsUp {
				c.waitUntil("the node serves", c.serving(1))
				hang()
			}
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			n.Stop()
			<-n.done
			assert.Assert(t, time.Since(began) < _drainTimeout+600*time.Millisecond, "stopped after %s", time.Since(began))
		})
	}
}

// A second signal, which ends the node's context, ends a planned stop at once.
func TestInterruptedStopWaitsForNotice(t *testing.T) {
	c := newHostedCluster(t)
	c.leaveNotice = 900 * time.Millisecond
	n := c.start("n0", "z", "v1")
	c.waitUntil("the node serves", c.serving(1))
	n.Stop()
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	n.cancel()
	<-n.done
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "stopped after %s", time.Since(began))
}
