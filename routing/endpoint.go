package routing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

const (
	// _loadLifetime is how long a load report counts; its weight falls linearly
	// to 0.
	_loadLifetime = time.Second
	// _warmingSlowdown is the factor by which a warming upstream is assumed to
	// be slower.
	_warmingSlowdown = 2
	// _ejectAfterFailures is the number of consecutive failures that eject an
	// upstream.
	_ejectAfterFailures = 5
	// _baseEjection is the duration of the first ejection; it doubles with each
	// further one in a row.
	_baseEjection = 5 * time.Second
	// _maxEjection bounds the duration of an ejection.
	_maxEjection = time.Minute
	// _baseUnreachableEjection and _maxUnreachableEjection are the same for an
	// upstream whose node accepted no connection.
	_baseUnreachableEjection = 500 * time.Millisecond
	_maxUnreachableEjection  = 4 * time.Second
	// _defaultCallDuration is the assumed duration of a call before any was
	// reported.
	_defaultCallDuration = 100 * time.Millisecond
	// _failureSmoothing is the weight of the newest call in the failure rate.
	_failureSmoothing = 0.1
	// _failurePenalty is the cost of an upstream that fails every call: the
	// time that a caller waits for a second attempt.
	_failurePenalty = 2 * time.Second
	// _utilizationPenalty is the additional cost of an upstream whose slots are
	// all busy before any call waits there. It spreads calls between idle
	// upstreams.
	_utilizationPenalty = 20 * time.Millisecond
)

// Load is the load of an upstream, as its owner, the node on the same VM,
// reports it with an answer.
type Load struct {
	// Calls is the number of calls running or waiting at the upstream.
	Calls int
	// Slots is how many calls run concurrently; 0 if the owner did not report
	// it.
	Slots int
	// AverageDuration is how long a call runs on average; 0 if the owner did
	// not report it.
	AverageDuration time.Duration
	// Reported is what the upstream itself reports.
	Reported ReportedLoad
}

// Endpoint is an upstream as seen by one sender.
type Endpoint struct {
	Member membership.Member
	// Address is the member's peer address as text.
	Address string
	// Instance identifies the member's incarnation in forwarded calls.
	Instance string
	// penalty is the cost of reaching the upstream's zone.
	penalty time.Duration
	// distance is the cost of reaching the upstream's zone where upstreams report
	// their load, and bytePrice that of a byte from there in nanoseconds.
	distance  time.Duration
	bytePrice float64
	*history
}

// history is what one sender has learned about an upstream. The endpoints made
// from successive records of the same upstream share it, so that nothing which
// is recorded while the records change is lost.
type history struct {
	// inFlight is the number of this sender's calls that have not ended.
	inFlight atomic.Int64
	// startedSinceReport is the number of calls this sender started since the
	// last load report.
	startedSinceReport atomic.Int64
	// model is shared by the upstreams of the service.
	model *serviceModel

	mu         sync.Mutex
	load       Load
	reportedAt time.Time
	estimate   estimate
	// failureRate is the moving average share of failed calls, from 0 to 1. It
	// counts less the longer ago the last failure was.
	failureRate   float64
	lastFailureAt time.Time
	// consecutiveFailures counts failed calls since the last success or
	// ejection.
	consecutiveFailures int
	// consecutiveEjections counts ejections since the last successful call.
	consecutiveEjections int
	ejectedUntil         time.Time
}

// lastReport returns the last reported load and when it was reported.
func (h *history) lastReport() (Load, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.load, h.reportedAt
}

// LoadSummary returns the last reported load and its age as text for logs, or
// "none".
func (h *history) LoadSummary(now time.Time) string {
	load, reportedAt := h.lastReport()
	if reportedAt.IsZero() {
		return "none"
	}
	text := fmt.Sprintf("%d/%d calls of %s, %s old", load.Calls, load.Slots, load.AverageDuration, now.Sub(reportedAt).Round(time.Millisecond))
	if r := load.Reported; r.Slowness > 0 {
		text += fmt.Sprintf(", upstream %d+%d/%d at %.2f, %s older", r.Running, r.Waiting, r.Slots, r.Slowness, r.Age)
	}
	return text
}

// ReportsLoad reports whether the upstreams of the service report their load.
func (h *history) ReportsLoad(now time.Time) bool {
	return h.model.isReporting(now)
}

// Begin counts a call to the upstream as in-flight. It must be followed by End.
func (h *history) Begin() {
	h.inFlight.Add(1)
	h.startedSinceReport.Add(1)
}

// End ends the count of a call as in-flight.
func (h *history) End() {
	h.inFlight.Add(-1)
}

// RecordLoad stores the load reported by the upstream's owner.
func (h *history) RecordLoad(now time.Time, load Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if load.AverageDuration == 0 {
		load.AverageDuration = h.load.AverageDuration
	}
	h.estimate.record(now, h.reportedAt, load, h.model)
	h.load = load
	h.reportedAt = now
	h.startedSinceReport.Store(0)
}

// RecordResponse records the size of a response of a route; -1 if unknown.
func (h *history) RecordResponse(route config.RouteName, bytes int64) {
	h.model.recordResponse(route, bytes)
}

// RecordSuccess resets the counts of consecutive failures and ejections, and
// lowers the failure rate.
func (h *history) RecordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.consecutiveFailures = 0
	h.consecutiveEjections = 0
	h.failureRate *= 1 - _failureSmoothing
}

// RecordFailure counts a failed call; _ejectAfterFailures in a row eject the
// upstream for a while.
func (h *history) RecordFailure(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failureRate += _failureSmoothing * (1 - h.failureRate)
	h.lastFailureAt = now
	h.consecutiveFailures++
	if h.consecutiveFailures < _ejectAfterFailures {
		return
	}
	h.consecutiveFailures = 0
	h.eject(now, _baseEjection, _maxEjection)
}

// RecordConnectFailure ejects an upstream whose node accepted no connection.
func (h *history) RecordConnectFailure(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eject(now, _baseUnreachableEjection, _maxUnreachableEjection)
}

// eject excludes the upstream for the duration base, doubled with each ejection
// in a row up to limit. The caller holds h.mu.
func (h *history) eject(now time.Time, base, limit time.Duration) {
	h.ejectedUntil = now.Add(min(limit, base<<min(h.consecutiveEjections, 8)))
	h.consecutiveEjections++
}

func (h *history) ejected(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.ejectedUntil)
}

// cost estimates the cost of a call sent now, as a time: by how much the
// expected answer time exceeds fastEnough, plus the penalties for distance,
// utilization and failures.
func (e *Endpoint) cost(now time.Time, fastEnough time.Duration) time.Duration {
	e.mu.Lock()
	load, reportedAt := e.load, e.reportedAt
	failureRate := e.failureRate * max(0, 1-float64(now.Sub(e.lastFailureAt))/float64(_baseEjection))
	e.mu.Unlock()
	duration := load.AverageDuration
	if duration == 0 {
		duration = _defaultCallDuration
	}
	if e.Member.State == membership.Warming {
		duration *= _warmingSlowdown
	}
	slots := float64(max(1, e.Member.Slots))
	if load.Slots > 0 {
		slots = float64(load.Slots)
	}
	freshness := max(0, 1-float64(now.Sub(reportedAt))/float64(_loadLifetime))
	calls := max(float64(load.Calls)*freshness+float64(e.startedSinceReport.Load())*freshness, float64(e.inFlight.Load()))
	wait := time.Duration(max(0, calls+1-slots) / slots * float64(duration))
	return max(0, wait+duration-fastEnough) + e.penalty +
		time.Duration(min(1, calls/slots)*float64(_utilizationPenalty)) +
		time.Duration(failureRate*float64(_failurePenalty))
}
