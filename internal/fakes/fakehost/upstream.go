// Package fakehost is a stand-in for the systems around a node on the users'
// platform, written from the platform's published documentation: an upstream
// that announces itself, callers, and the operator's configuration.
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

// Headers that callers, nodes and upstreams exchange.
const (
	_headerAttempt  = "X-Attempt-Id"
	_headerDeadline = "X-Deadline-Ms"
	_headerExpect   = "X-Expect-Instance"
	_headerLoad     = "X-Server-Load"
	_headerNotRun   = "X-Not-Run"
	_headerSeal     = "X-Server-Seal"
	_headerTenant   = "X-Tenant"
)

// HealthPath is the path of an upstream's health check.
const HealthPath = "/healthz"

// Faults holds the faults of an upstream. The zero value has none.
type Faults struct {
	// FailRatio is the share of calls that fail, and LostResponseRatio the share
	// of calls that run but whose response is lost. Both are from 0 to 1.
	FailRatio, LostResponseRatio float64
	// Delay is added to the processing time of each call.
	Delay time.Duration
}

// Run is the start of one call at an upstream.
type Run struct {
	// ID is the call's ID.
	ID string
	// RequestHash is the HashRequest of the request that arrived.
	RequestHash string
	// Tenant is the name of the workspace that the request states.
	Tenant    string
	StartedAt time.Time
	// Instance is the ID of the upstream instance that ran the call.
	Instance string
	// ResponseLost is set if the upstream drops the response.
	ResponseLost bool
	// Crashed is set if the call crashes the instance.
	Crashed bool
	// Headers are the headers of the request that arrived.
	Headers http.Header
}

// UpstreamDependencies holds the settings of an Upstream.
type UpstreamDependencies struct {
	Service string
	// Slots is the number of calls that can run at once.
	Slots          int
	ProcessingTime time.Duration
	// ReportsLoad is set if the upstream adds its load to responses.
	ReportsLoad bool
	// Address is the upstream's address, and AnnounceAddress the node's address
	// for announcements.
	Address, AnnounceAddress netip.AddrPort
	// OnRun is called when a call starts to run.
	OnRun func(Run)
	// IsCrashing reports whether a call with the given path crashes the instance
	// that starts to run it.
	IsCrashing func(path string) bool
	// OnCrash is called when a call has crashed the instance with the given ID.
	// The upstream is down until Restart or RestartCrashed.
	OnCrash func(id string)
}

// Upstream is an upstream with one instance at a time. Restart replaces the
// instance. It is safe for concurrent use.
type Upstream struct {
	deps  UpstreamDependencies
	slots chan struct{}

	mu     sync.Mutex
	faults Faults
	// id is the ID of the current instance, bornMillis its start as Unix time in
	// milliseconds, and seq the sequence number of its newest announcement.
	id              string
	bornMillis, seq int64
	instanceCount   int
	leaving         bool
	down            bool
	// leaveConfirmedAt is when the node first confirmed that this instance
	// leaves. It is zero before.
	leaveConfirmedAt time.Time
}

var _ http.Handler = (*Upstream)(nil)

// NewUpstream returns an upstream with a running instance.
func NewUpstream(d UpstreamDependencies) *Upstream {
	u := &Upstream{deps: d, slots: make(chan struct{}, d.Slots)}
	u.Restart()
	return u
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Restart replaces the instance by a new one with a new ID.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.restartLocked()
}

// RestartCrashed replaces the instance with the given ID by a new one. If that
// has happened already, it does nothing.
func (u *Upstream) RestartCrashed(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id == id {
		u.restartLocked()
	}
}

// restartLocked replaces the instance. The caller must hold u.mu.
func (u *Upstream) restartLocked() {
	u.instanceCount++
	u.id = fmt.Sprintf("i-%s-%d", u.deps.Address, u.instanceCount)
	u.bornMillis, u.seq = time.Now().UnixMilli(), 0
	u.leaving, u.down, u.leaveConfirmedAt = false, false, time.Time{}
}

// Crash takes the instance down without an announcement.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = true
}

// crashInstance takes the instance with the given ID down. It returns false if
// the instance has ended before.
func (u *Upstream) crashInstance(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id != id || u.down {
		return false
	}
	u.down = true
	return true
}

// Leave makes the instance announce that it is draining.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// LeaveConfirmed returns the ID of the current instance and the time at which
// the node confirmed that it leaves, which is zero if it has not.
func (u *Upstream) LeaveConfirmed() (id string, confirmedAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id, u.leaveConfirmedAt
}

// Announce sends the instance's state to the node. It returns an error if the
// node does not confirm it. While the instance is down, Announce does nothing.
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
		"service": u.deps.Service, "addr": u.deps.Address.String(), "zone": "z", "version": "v1", "slots": u.deps.Slots,
		"state": state, "cold-left": "0ms", "seq": u.seq, "born": u.bornMillis,
	})
	u.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	url := "http://" + u.deps.AnnounceAddress.String() + "/backends/" + id + "/heartbeat"
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
		return errors.Newf("announce: unexpected status %d", response.StatusCode)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if leaving && u.id == id && u.leaveConfirmedAt.IsZero() {
		u.leaveConfirmedAt = time.Now()
	}
	return nil
}

// HashRequest returns a hash of a request's method, path and body.
func HashRequest(method, path string, body []byte) string {
	hash := sha256.Sum256(append([]byte(method+" "+path+"\x00"), body...))
	return hex.EncodeToString(hash[:8])
}

// ServeHTTP runs one call. It refuses a call for another instance, or one for
// which no slot is free.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	id, down, faults := u.id, u.down, u.faults
	u.mu.Unlock()
	callID := r.Header.Get(_headerAttempt)
	w.Header().Set(_headerAttempt, callID)
	if u.deps.ReportsLoad {
		slowness := 100 * (u.deps.ProcessingTime + faults.Delay) / u.deps.ProcessingTime
		w.Header().Set(_headerLoad, fmt.Sprintf("%d,0,%d,%d", len(u.slots), cap(u.slots), slowness))
	}
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case r.URL.Path == HealthPath:
		return
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
	loseResponse := rand.Float64() < faults.LostResponseRatio
	run := Run{
		ID: callID, RequestHash: HashRequest(r.Method, r.URL.Path, body), Tenant: r.Header.Get(_headerTenant),
		StartedAt: time.Now(), Instance: id, ResponseLost: loseResponse, Headers: r.Header,
	}
	if u.deps.IsCrashing(r.URL.Path) {
		if u.crashInstance(id) {
			run.ResponseLost, run.Crashed = false, true
			u.deps.OnRun(run)
			u.deps.OnCrash(id)
		}
		panic(http.ErrAbortHandler)
	}
	u.deps.OnRun(run)
	select {
	case <-time.After(u.deps.ProcessingTime + faults.Delay):
	case <-r.Context().Done():
		return
	}
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(_headerSeal, "seal-"+callID)
	if rand.Float64() < faults.FailRatio {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.WriteString(w, run.RequestHash+" by "+id)
}
