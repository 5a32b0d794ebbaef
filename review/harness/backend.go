package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	ackTimeout   = time.Second
	coldFor      = 3 * time.Second
)

// backend is a stand-in for an application backend beside a node.
type backend struct {
	run         *run
	id          string
	service     string
	version     string
	zone        string
	address     string
	control     string
	slots       int
	born        time.Time
	work        time.Duration
	failOn      func(n int) bool // whether the n-th call fails with 500
	beatAddress string           // where heartbeats go if not to control
	listener    net.Listener
	server      *http.Server
	stopBeats   chan struct{}

	mu      sync.Mutex
	seq     int
	state   string
	running int
	served  int
	stopped bool
}

// start begins to serve and to announce the backend.
func (b *backend) start() {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		b.run.giveUp("backend %s: %v", b.id, err)
	}
	b.listener, b.state, b.stopBeats = listener, "ready", make(chan struct{})
	if b.born.IsZero() {
		b.born = time.Now()
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	b.run.record("backend %s (%s %s) starts at %s", b.id, b.service, b.version, b.address)
	go func() {
		for {
			b.beat()
			select {
			case <-b.stopBeats:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
}

// nextBeat returns the body of the next heartbeat.
func (b *backend) nextBeat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	cold := max(0, coldFor-time.Since(b.born))
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "addr": b.address, "zone": b.zone, "version": b.version, "slots": b.slots,
		"state": b.state, "cold-left": fmt.Sprintf("%dms", cold.Milliseconds()), "seq": b.seq, "born": b.born.UnixMilli(),
	})
	return body
}

// beat sends a heartbeat and reports whether it was acknowledged in time.
func (b *backend) beat() bool {
	return b.post(b.control, "/heartbeat", b.nextBeat())
}

func (b *backend) post(address, call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/backends/"+b.id+call, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode/100 == 2
}

// drain announces that the backend leaves, until that is acknowledged, and
// returns when it was.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for !b.beat() {
		time.Sleep(200 * time.Millisecond)
	}
	b.run.record("backend %s says draining, acknowledged", b.id)
	return time.Now()
}

// deregister says that the backend leaves for good, until that is acknowledged,
// and returns when it was. It sends no further heartbeats.
func (b *backend) deregister() time.Time {
	select {
	case <-b.stopBeats:
	default:
		close(b.stopBeats)
	}
	for !b.post(b.control, "/deregister", nil) {
		time.Sleep(200 * time.Millisecond)
	}
	b.run.record("backend %s deregisters, acknowledged", b.id)
	return time.Now()
}

// stop ends the backend at once.
func (b *backend) stop() {
	b.mu.Lock()
	was := b.stopped
	b.stopped = true
	b.mu.Unlock()
	if was || b.server == nil {
		return
	}
	select {
	case <-b.stopBeats:
	default:
		close(b.stopBeats)
	}
	_ = b.server.Close()
	b.run.record("backend %s ends", b.id)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	if b.running >= b.slots {
		b.mu.Unlock()
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running++
	b.served++
	n := b.served
	load := fmt.Sprintf("%d,0,%d", b.running, b.slots)
	b.mu.Unlock()
	fails := b.failOn != nil && b.failOn(n)
	b.run.ran(b, attempt, r.Method, r.URL.RequestURI(), r.Header.Get("X-Caller"), len(body), fails)
	time.Sleep(b.work)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	w.Header().Set("X-Server-Seal", "seal."+attempt)
	w.Header().Set("X-Server-Load", load)
	answer := "answer of " + b.id + " to " + attempt + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, answer)
}
