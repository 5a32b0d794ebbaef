package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pipelinedCalls is a connection to a node on which calls are pipelined.
type pipelinedCalls struct {
	c      *hostedCluster
	conn   net.Conn
	reader *bufio.Reader
}

// startPipelining starts a node, whose upstream takes the given time for a call,
// with an idempotent route /lookups/ beside /batches/, and connects to it.
func startPipelining(t *testing.T, takes time.Duration) (*pipelinedCalls, *hostedNode) {
	t.Helper()
	c := newHostedCluster(t)
	c.configure(2, `,{"name":"lookups","path-prefix":"/lookups/","kind":"idempotent","timeout":"2s","target-latency":"500ms","priority":0,"service":"desk","attempts":2}`)
	n := c.start("n0", "z", "v1")
	c.waitUntil("the node serves", c.serving(1))
	c.waitUntil("a call is served", func() bool { return c.call(n, "/lookups/0") == http.StatusOK })
	n.takes.Store(int64(takes))
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.calls, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(_waitTimeout)))
	return &pipelinedCalls{c, conn, bufio.NewReader(conn)}, n
}

// send sends calls of the paths at once, whose IDs are the prefix and their numbers.
func (p *pipelinedCalls) send(prefix string, paths ...string) {
	var text strings.Builder
	for n, path := range paths {
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s%d\r\nX-Deadline-Ms: 3000\r\n\r\n", path, prefix, n)
	}
	_, err := io.WriteString(p.conn, text.String())
	assert.NilError(p.c.t, err)
}

// receive returns the status and the ID of the next complete response, and whether
// it closes the connection; the status is 0 if there is no response.
func (p *pipelinedCalls) receive() (status int, id string, closes bool) {
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return 0, "", true
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, "", true
	}
	return response.StatusCode, response.Header.Get("X-Attempt-Id"), response.Close
}

// Pipelined calls of an idempotent route run concurrently, one that isn't
// idempotent alone, and each gets its own response in order.
func TestPipelinedCallsRunConcurrently(t *testing.T) {
	const takes = 300 * time.Millisecond
	p, _ := startPipelining(t, takes)
	began := time.Now()
	p.send("p", "/lookups/0", "/lookups/1", "/lookups/2", "/lookups/3", "/batches/4", "/lookups/5", "/lookups/6", "/lookups/7")
	for n := range 8 {
		status, id, closes := p.receive()
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, id, fmt.Sprint("p", n))
		assert.Check(t, !closes)
	}
	took := time.Since(began)
	assert.Check(t, took >= 3*takes && took < 8*takes, "eight calls took %s", took)
}

// A planned stop answers the pipelined calls that it has forwarded, and then closes
// the connection, also if it has not been used since. What it doesn't answer has
// not run.
func TestStopAnswersPipelinedCalls(t *testing.T) {
	for _, sent := range []int{0, 1, 6, 40} {
		t.Run(fmt.Sprint("sent=", sent), func(t *testing.T) {
			p, n := startPipelining(t, 200*time.Millisecond)
			p.send("first", "/lookups/a", "/lookups/b")
			for range 2 {
				status, _, _ := p.receive()
				assert.Equal(t, status, http.StatusOK)
			}
			ran := n.callCount()
			paths := make([]string, sent)
			for i := range paths {
				paths[i] = fmt.Sprint("/lookups/", i)
			}
			p.send("p", paths...)
			if sent > 1 {
				p.c.waitUntil("the first call runs", func() bool { return n.callCount() > ran })
			}
			n.Stop()
			answered, closes, refused := 0, false, make(map[string]bool)
			for {
				status, id, isLast := p.receive()
				if status == 0 {
					break
				}
				assert.Check(t, !closes, "response after the one that closes")
				assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, status)
				if status == http.StatusOK {
					assert.Equal(t, id, fmt.Sprint("p", answered))
				} else {
					refused[fmt.Sprint("p", answered)] = true
				}
				answered++
				closes = isLast
			}
			<-n.done
			n.mu.Lock()
			defer n.mu.Unlock()
			for id := range n.runs {
				var number int
				assert.Check(t, !refused[id], "refused call %s has run", id)
				if _, err := fmt.Sscanf(id, "p%d", &number); err == nil {
					assert.Check(t, number < answered, "call %d has run, %d were answered", number, answered)
				}
			}
			assert.Check(t, answered >= min(sent, 1), answered)
		})
	}
}

// A caller that disconnects cancels its pipelined calls, so that the upstream can
// take others.
func TestDisconnectCancelsPipelinedCalls(t *testing.T) {
	p, n := startPipelining(t, 0)
	n.hanging.Store(true)
	ran := n.callCount()
	p.send("p", "/lookups/0", "/lookups/1", "/lookups/2", "/lookups/3", "/lookups/4", "/lookups/5", "/lookups/6", "/lookups/7")
	p.c.waitUntil("all slots are taken", func() bool { return n.callCount() == ran+8 })
	n.hanging.Store(false)
	assert.NilError(t, p.conn.Close())
	p.c.waitUntil("the slots are free", func() bool { return p.c.call(n, "/batches/1") == http.StatusOK })
}
