// Package fakehost is a small stand-in for what surrounds a node on the users'
// platform, written from its published pages: an upstream that announces
// itself, callers, and the operator's configuration.
package fakehost

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers between callers, nodes and upstreams.
const (
	_headerAttempt  = "X-Attempt-Id"
	_headerDeadline = "X-Deadline-Ms"
	_headerExpect   = "X-Expect-Instance"
	_headerNotRun   = "X-Not-Run"
	_headerSeal     = "X-Server-Seal"
)

// Faults are the failures that an upstream shows while they are set.
type Faults struct {
	// FailRatio is the part of the calls that fail, LostResponseRatio that of which the
	// answer is lost after the run; both from 0 to 1.
	FailRatio, LostResponseRatio float64
	// Delay is added to each call.
	Delay time.Duration
}

// Run is one call that an upstream began to work on.
type Run struct {
	ID string
	// RequestHash is a hash over what the upstream was asked for.
	RequestHash string
	StartedAt   time.Time
	// Instance is the process that ran the call.
	Instance string
	// ResponseLost is set when the upstream dropped the answer.
	ResponseLost bool
}

// UpstreamDependencies are what an Upstream is built from.
type UpstreamDependencies struct {
	Service        string
	Slots          int
	ProcessingTime time.Duration
	// Address is where the node reaches the upstream, AnnounceAddress where the node takes
	// announcements.
	Address, AnnounceAddress netip.AddrPort
	// OnRun is told of each call as it begins.
	OnRun func(Run)
}

// Upstream is one upstream, through all its processes. It is safe for
// concurrent use.
type Upstream struct {
	d     UpstreamDependencies
	slots chan struct{}

	mu     sync.Mutex
	faults Faults
	// id, born and seq are those of the process that is up.
	id        string
	born, seq int64
	processes int
	leaving   bool
	down      bool
	// confirmed is when a node confirmed that this process leaves; zero before.
	confirmed time.Time
}

var _ http.Handler = (*Upstream)(nil)

// NewUpstream returns an upstream whose first process is up.
func NewUpstream(d UpstreamDependencies) *Upstream {
	u := &Upstream{d: d, slots: make(chan struct{}, d.Slots)}
	u.Restart()
	return u
}

// SetFaults replaces the failures.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Restart replaces the process by a new one.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.processes++
	u.id = fmt.Sprintf("i-%s-%d", u.d.Address, u.processes)
	u.born, u.seq = time.Now().UnixMilli(), 0
	u.leaving, u.down, u.confirmed = false, false, time.Time{}
}

// Crash ends the process without a word.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = true
}

// Leave makes the process announce that it leaves.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// LeaveConfirmed returns the process that is up and since when a node has confirmed
// that it leaves; the zero time when none has.
func (u *Upstream) LeaveConfirmed() (id string, since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id, u.confirmed
}

// Announce tells the node how the process stands. The error says that the node
// did not confirm it.
func (u *Upstream) Announce(ctx context.Context, client *http.Client) error {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return nil
	}
	u.seq++
	id, leaving := u.id, u.leaving
	state := "ready"
	if leaving {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": u.d.Service, "addr": u.d.Address.String(), "zone": "z", "version": "v1", "slots": u.d.Slots,
		"state": state, "cold-left": "0ms", "seq": u.seq, "born": u.born,
	})
	u.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	url := "http://" + u.d.AnnounceAddress.String() + "/backends/" + id + "/heartbeat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("announce: status %d", response.StatusCode)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if leaving && u.id == id && u.confirmed.IsZero() {
		u.confirmed = time.Now()
	}
	return nil
}

// HashRequest returns the hash over what a call asks for.
func HashRequest(method, path string, body []byte) string {
	sum := sha256.Sum256(append([]byte(method+" "+path+"\x00"), body...))
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP runs one call.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	id, down, faults := u.id, u.down, u.faults
	u.mu.Unlock()
	call := r.Header.Get(_headerAttempt)
	w.Header().Set(_headerAttempt, call)
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case r.Header.Get(_headerExpect) != "" && r.Header.Get(_headerExpect) != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		w.Header().Set(_headerNotRun, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lost := rand.Float64() < faults.LostResponseRatio
	sum := HashRequest(r.Method, r.URL.Path, body)
	u.d.OnRun(Run{ID: call, RequestHash: sum, StartedAt: time.Now(), Instance: id, ResponseLost: lost})
	select {
	case <-time.After(u.d.ProcessingTime + faults.Delay):
	case <-r.Context().Done():
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(_headerSeal, "seal-"+call)
	if rand.Float64() < faults.FailRatio {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.WriteString(w, sum+" by "+id) //nolint:gosec // No browser reads it.
}
