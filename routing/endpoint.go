package routing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/membership"
)

const (
	// _loadLifetime is how long a reported load counts; it fades linearly.
	_loadLifetime = time.Second
	// _warmingSlowdown is how much slower a warming upstream is taken to be.
	_warmingSlowdown = 2
	// _ejectAfterFailures is how many failures in a row eject an upstream.
	_ejectAfterFailures = 5
	// _baseEjection is how long an upstream is ejected at first.
	_baseEjection = 5 * time.Second
	// _maxEjection bounds how long an upstream is ejected.
	_maxEjection = time.Minute
	// _baseUnreachableEjection is how long an upstream whose node did not take a
	// connection is ejected at first, and _unreachedMost the longest.
	_baseUnreachableEjection = 500 * time.Millisecond
	_maxUnreachableEjection  = 4 * time.Second
	// _defaultCallDuration is how long a call is taken to run before any was seen.
	_defaultCallDuration = 100 * time.Millisecond
	// _failureSmoothing is the weight of the newest call in the rate of failures.
	_failureSmoothing = 0.1
	// _failurePenalty is the delay that an upstream which fails each call counts
	// for: what a caller waits for a second try.
	_failurePenalty = 2 * time.Second
	// _utilizationPenalty spreads calls between idle upstreams: what a full one counts
	// for more than an idle one before any call has to wait.
	_utilizationPenalty = 20 * time.Millisecond
)

// Load is what the owner of an upstream reports with an answer.
type Load struct {
	// Calls is how many calls run or wait at the upstream.
	Calls int
	// Slots is how many calls run at once; 0 when the owner did not say.
	Slots int
	// AverageDuration is how long a call runs on average; 0 when the owner did not say.
	AverageDuration time.Duration
}

// Endpoint is an upstream as one sender sees it.
type Endpoint struct {
	Member membership.Member
	// Address is the text of the member's peer address.
	Address string
	// Owner names the member in forwarded calls.
	Owner string
	// penalty is what the way to the upstream counts for.
	penalty time.Duration

	// inFlight counts this sender's calls that have no outcome yet.
	inFlight atomic.Int64
	// startedSinceReport counts this sender's calls since the last report.
	startedSinceReport atomic.Int64

	mu         sync.Mutex
	load       Load
	reportedAt time.Time
	// failureRate is the moving part of the calls that failed, from 0 to 1; it
	// counts for less the longer ago the last failure was.
	failureRate   float64
	lastFailureAt time.Time
	// consecutiveFailures counts consecutiveFailures in a row.
	consecutiveFailures int
	// consecutiveEjections counts consecutiveEjections in a row.
	consecutiveEjections int
	ejectedUntil         time.Time
}

// lastReport returns the load that was last lastReport, and when.
func (e *Endpoint) lastReport() (Load, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load, e.reportedAt
}

// LoadSummary returns the load that the upstream's owner last reported and how
// old the report is, as it stands in logs.
func (e *Endpoint) LoadSummary(now time.Time) string {
	load, at := e.lastReport()
	if at.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d/%d calls of %s, %s old", load.Calls, load.Slots, load.AverageDuration, now.Sub(at).Round(time.Millisecond))
}

// Begin counts a call to the upstream. The call's End must follow.
func (e *Endpoint) Begin() {
	e.inFlight.Add(1)
	e.startedSinceReport.Add(1)
}

// End takes the call out of the count.
func (e *Endpoint) End() {
	e.inFlight.Add(-1)
}

// RecordLoad takes in the load that the upstream's node reported.
func (e *Endpoint) RecordLoad(now time.Time, load Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if load.AverageDuration == 0 {
		load.AverageDuration = e.load.AverageDuration
	}
	e.load = load
	e.reportedAt = now
	e.startedSinceReport.Store(0)
}

// RecordSuccess ends a row of failures.
func (e *Endpoint) RecordSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.consecutiveFailures = 0
	e.consecutiveEjections = 0
	e.failureRate *= 1 - _failureSmoothing
}

// RecordFailure counts a failure; several in a row eject the upstream for a
// while.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failureRate += _failureSmoothing * (1 - e.failureRate)
	e.lastFailureAt = now
	e.consecutiveFailures++
	if e.consecutiveFailures < _ejectAfterFailures {
		return
	}
	e.consecutiveFailures = 0
	e.eject(now, _baseEjection, _maxEjection)
}

// RecordConnectFailure ejects an upstream whose node took no connection.
func (e *Endpoint) RecordConnectFailure(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eject(now, _baseUnreachableEjection, _maxUnreachableEjection)
}

func (e *Endpoint) eject(now time.Time, first, most time.Duration) {
	e.ejectedUntil = now.Add(min(most, first<<min(e.consecutiveEjections, 8)))
	e.consecutiveEjections++
}

func (e *Endpoint) ejected(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.ejectedUntil)
}

// cost estimates what a call that is sent now costs, as a time: how much
// longer than comfortable it takes, and what the way and failures count for.
func (e *Endpoint) cost(now time.Time, fastEnough time.Duration) time.Duration {
	e.mu.Lock()
	load, loadedAt := e.load, e.reportedAt
	failureRate := e.failureRate * max(0, 1-float64(now.Sub(e.lastFailureAt))/float64(_baseEjection))
	e.mu.Unlock()
	work := load.AverageDuration
	if work == 0 {
		work = _defaultCallDuration
	}
	if e.Member.State == membership.Warming {
		work *= _warmingSlowdown
	}
	slots := float64(max(1, e.Member.Slots))
	if load.Slots > 0 {
		slots = float64(load.Slots)
	}
	freshness := max(0, 1-float64(now.Sub(loadedAt))/float64(_loadLifetime))
	calls := max(float64(load.Calls)*freshness+float64(e.startedSinceReport.Load())*freshness, float64(e.inFlight.Load()))
	wait := time.Duration(max(0, calls+1-slots) / slots * float64(work))
	return max(0, wait+work-fastEnough) + e.penalty +
		time.Duration(min(1, calls/slots)*float64(_utilizationPenalty)) +
		time.Duration(failureRate*float64(_failurePenalty))
}
