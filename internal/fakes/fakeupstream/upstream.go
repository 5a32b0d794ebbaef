// Package fakeupstream is a stand-in for an upstream that can show the faults
// of a bad version.
package fakeupstream

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Headers of requests and responses.
const (
	// HeaderVersion holds the version of the upstream that answered.
	HeaderVersion = "X-Version"
	// HeaderRequest holds the request's ID. The response repeats it.
	HeaderRequest = "X-Request"
)

// Faults holds the faults of an upstream. The zero value has none.
type Faults struct {
	// FailRatio is the share of calls that fail, from 0 to 1.
	FailRatio float64
	// Delay is added to the processing time of each call.
	Delay time.Duration
	// Unhealthy makes the health check fail.
	Unhealthy bool
}

// Upstream answers each call with the request's body. It is safe for concurrent
// use.
type Upstream struct {
	version        string
	processingTime time.Duration

	mu     sync.Mutex
	faults Faults
	// runs counts the runs of each command, by its HeaderRequest.
	runs map[string]int
}

var _ http.Handler = (*Upstream)(nil)

// New returns an upstream that takes the processing time for each call.
func New(version string, processingTime time.Duration) *Upstream {
	return &Upstream{version: version, processingTime: processingTime, runs: make(map[string]int)}
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Runs returns how often each command ran, by its HeaderRequest.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		runs[id] = n
	}
	return runs
}

// ServeHTTP answers a call, or the health check at /healthz.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	faults := u.faults
	if r.Method == http.MethodPost {
		u.runs[r.Header.Get(HeaderRequest)]++
	}
	u.mu.Unlock()
	if r.URL.Path == "/healthz" {
		if faults.Unhealthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	time.Sleep(u.processingTime + faults.Delay)
	w.Header().Set(HeaderVersion, u.version)
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	if rand.Float64() < faults.FailRatio {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	_, _ = io.Copy(w, r.Body)
}
