package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// execution is one run of a request at a backend.
type execution struct {
	at       time.Time
	backend  *backend
	attempt  string
	method   string
	path     string
	caller   string
	fails    bool
	sentAt   time.Time
	ingress  *node
	bodySize int
}

// sending is one attempt of a requester.
type sending struct {
	attempt string
	at      time.Time
	to      *node
	ended   time.Time
	status  int
	sealed  bool
	err     string
	// left is set if the requester closed its channel before an answer.
	left bool
}

// run holds the processes and the record of one case.
type run struct {
	trouble bool
	binary  string
	temp    string
	started time.Time
	octet   string
	store   *store
	storeAt string
	nodes   []*node

	mu         sync.Mutex
	log        *os.File
	executions []*execution
	sendings   map[string]*sending
	backends   []*backend
	attempts   int
}

// node is one process of the system under test and its settings.
type node struct {
	run      *run
	name     string
	region   string
	zone     string
	service  string
	address  string
	settings string
	storeAt  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	upSince time.Time
	ready   bool
}

func newRun(record string) *run {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &run{
		trouble: os.Getenv("TROUBLE") != "0", binary: os.Getenv("NODE_BINARY"), temp: temp, started: time.Now(),
		log: file, sendings: make(map[string]*sending), store: newStore(),
	}
	for range 50 {
		r.octet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", r.octet+".1:8142")
		if err != nil {
			continue
		}
		r.storeAt = listener.Addr().String()
		go func() { _ = http.Serve(listener, r.store) }()
		break
	}
	if r.storeAt == "" {
		r.giveUp("no free address")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.end(exitNotRun)
	}()
	r.record("store at %s, trouble %v", r.storeAt, r.trouble)
	return r
}

// record writes a line to the record.
func (r *run) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLocked(format, args...)
}

func (r *run) recordLocked(format string, args ...any) {
	fmt.Fprintf(r.log, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// giveUp ends a case that can't run.
func (r *run) giveUp(format string, args ...any) {
	r.record("can't run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	r.end(exitNotRun)
}

// end stops everything that the case started and exits.
func (r *run) end(code int) {
	for _, b := range r.backends {
		b.stop()
	}
	for _, n := range r.nodes {
		n.kill()
	}
	r.record("exit code %d", code)
	_ = os.RemoveAll(r.temp)
	os.Exit(code)
}

// ran records that a backend runs a request.
func (r *run) ran(b *backend, attempt, method, path, caller string, size int, fails bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &execution{at: time.Now(), backend: b, attempt: attempt, method: method, path: path, caller: caller, fails: fails, bodySize: size}
	if s := r.sendings[attempt]; s != nil {
		e.sentAt, e.ingress = s.at, s.to
	}
	r.executions = append(r.executions, e)
	verdict := ""
	if fails {
		verdict = ", answers 500"
	}
	r.recordLocked("run %s %s %s at %s (%s %s)%s", attempt, method, path, b.id, b.service, b.version, verdict)
}

// addNode creates a node with the settings of the deployment's template.
func (r *run) addNode(name, region, zone, service string) *node {
	n := &node{run: r, name: name, region: region, zone: zone, service: service, address: fmt.Sprintf("%s.%d", r.octet, 10+len(r.nodes)), storeAt: r.storeAt}
	n.settings = filepath.Join(r.temp, name+".yaml")
	r.nodes = append(r.nodes, n)
	return n
}

func (n *node) writeSettings() {
	text := fmt.Sprintf(`id: %q
region: %q
zone: %q
callAddress: "%s:8141"
peerAddress: "%s:7660"
adminAddress: "%s:8140"
announceAddress: "%s:8146"
platformProtocol: hosted
platformUrl: "http://%s"
service: %q
upstreamAddress: "%s:8147"
memoryLimit: "134"
leaveNotice: 2900ms
killAfter: "6s"
retryRatio: "0.2"
retrySlack: "56"
retryWindow: "10s"
gcPercent: "25"
zonePeriod: 5s
verbosity: "1"
`, n.name, n.region, n.zone, n.address, n.address, n.address, n.address, n.storeAt, n.service, n.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		n.run.giveUp("settings: %v", err)
	}
}

// start starts the node's process.
func (n *node) start() {
	n.writeSettings()
	output, err := os.OpenFile(filepath.Join(n.run.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.run.giveUp("log: %v", err)
	}
	cmd := exec.Command(n.run.binary, "--config", n.settings)
	cmd.Env = append(os.Environ(), "LENTILFERRY_CONFIG="+n.settings)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		n.run.giveUp("start %s: %v", n.name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = output.Close()
		close(done)
	}()
	n.mu.Lock()
	n.cmd, n.done, n.upSince = cmd, done, time.Now()
	n.mu.Unlock()
	n.run.record("node %s starts", n.name)
}

// kill ends the node's process with SIGKILL.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.cmd = nil
	n.ready = false
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
	n.run.record("node %s killed", n.name)
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// up returns since when the process runs; false if it doesn't.
func (n *node) up() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upSince, n.cmd != nil
}

// checkReady asks the node every second whether it is ready; requesters use it
// from the first 200 until two misses in a row.
func (n *node) checkReady() {
	misses := 0
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + n.address + ":8140/readyz")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		n.mu.Lock()
		n.ready = ok || n.ready && misses < 2
		n.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (n *node) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// startAll starts all nodes and asks whether they are ready.
func (r *run) startAll() {
	for _, n := range r.nodes {
		n.start()
		go n.checkReady()
	}
}

// awaitReady waits until all nodes are ready.
func (r *run) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range r.nodes {
			all = all && n.isReady()
		}
		if all {
			r.record("all nodes are ready")
			return
		}
	}
	r.giveUp("the nodes are not ready")
}

// addBackend creates the backend beside a node.
func (r *run) addBackend(n *node, id, version string, slots int, work time.Duration) *backend {
	b := &backend{
		run: r, id: id, service: n.service, version: version, zone: n.zone, address: n.address + ":8147", control: n.address + ":8146",
		slots: slots, work: work,
	}
	r.backends = append(r.backends, b)
	return b
}

// request describes what a requester sends.
type request struct {
	method, host, path string
	body               string
	deadline           time.Duration
	// leaveAfter is when the requester closes its channel, if it does so before
	// the deadline; 0 if it stays.
	leaveAfter time.Duration
}

// send sends one request to the node's outbound address, on a new connection.
func (r *run) send(n *node, q request) *sending {
	r.mu.Lock()
	r.attempts++
	attempt := fmt.Sprintf("a%05d", r.attempts)
	s := &sending{attempt: attempt, at: time.Now(), to: n}
	r.sendings[attempt] = s
	r.recordLocked("send %s %s %s to %s", attempt, q.method, q.path, n.name)
	r.mu.Unlock()
	stay := q.deadline
	if q.leaveAfter > 0 {
		stay = min(stay, q.leaveAfter)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	h, _ := http.NewRequestWithContext(ctx, q.method, "http://"+n.address+":8141"+q.path, bytes.NewBufferString(q.body))
	h.Host, h.Close = q.host, true
	h.Header.Set("X-Attempt-Id", attempt)
	h.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(h)
	status, sealed, text := 0, false, ""
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status, sealed = response.StatusCode, response.Header.Get("X-Server-Seal") == "seal."+attempt
	}
	if err != nil {
		text = err.Error()
	}
	left := ctx.Err() != nil
	r.mu.Lock()
	defer r.mu.Unlock()
	s.left = left
	s.ended, s.status, s.sealed, s.err = time.Now(), status, sealed, text
	r.recordLocked("answer %s status %d sealed %v %s", attempt, status, sealed, text)
	return s
}

// traffic sends requests to the node at the given rate until the context ends.
func (r *run) traffic(ctx context.Context, n *node, perSecond float64, next func() request) {
	for {
		wait := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if n.isReady() {
			go r.send(n, next())
		}
	}
}

// route is one route of the operator's configuration.
func route(name, prefix, kind, service, timeout string, priority int) map[string]any {
	return map[string]any{
		"name": name, "path-prefix": prefix, "kind": kind, "timeout": timeout, "target-latency": "600ms",
		"priority": priority, "service": service, "attempts": 2,
	}
}

// configure writes the operator's configuration.
func (r *run) configure(version int, services []string, host string, routes ...map[string]any) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false})
	}
	r.store.write("config", "main", map[string]any{
		"version": version, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
		"vhosts": []map[string]any{{"host": host, "paths": routes}},
	})
	r.record("configuration %d written", version)
}
