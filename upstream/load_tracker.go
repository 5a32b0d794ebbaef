package upstream

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/config"
)

// Load is the load that an upstream reports of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the upstream's VM at the moment, relative
	// to the usual; above zero.
	Slowness float64
}

const (
	// _meanSlownessTimeConstant is the time in which the weight of past reports in
	// the mean slowness falls to 1/e. With 5 s, VMs that stay slow for seconds were
	// believed to be fast for too long: 0.01 fewer of the calls were in time.
	_meanSlownessTimeConstant = time.Second
	// _reportLifetime is how old a report may be to count for a call's work.
	_reportLifetime = 250 * time.Millisecond
	// _workSmoothing is the weight of the newest call in the mean work of a route,
	// once there were as many calls as its inverse.
	_workSmoothing = 0.05
	// _maxTypicalWork bounds the work that a call counts for, as a multiple of its
	// route's mean: a few calls take many times as long as the others.
	_maxTypicalWork = 4
	// _maxTrackedRoutes bounds the routes whose work is tracked.
	_maxTrackedRoutes = 1_000
)

// LoadTracker keeps the newest load that an upstream reported, and learns how
// long its calls run on a VM of usual speed. It is safe for concurrent use.
type LoadTracker struct {
	// invalid counts the reports that were ignored.
	invalid atomic.Uint64
	// reporting is set once a valid report was recorded.
	reporting atomic.Bool

	mu   sync.Mutex
	load Load
	// recordedAt is when load was reported; zero before the first report.
	recordedAt   time.Time
	meanSlowness float64
	routes       map[config.RouteName]*meanWork
}

// meanWork is the mean work of a route's calls.
type meanWork struct {
	count int
	mean  float64
}

// NewLoadTracker returns a tracker of an upstream that has not reported yet.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{routes: make(map[config.RouteName]*meanWork)}
}

// RecordInvalid counts a report that is not valid.
func (t *LoadTracker) RecordInvalid() {
	t.invalid.Add(1)
}

// InvalidCount returns the number of invalid reports.
func (t *LoadTracker) InvalidCount() uint64 {
	return t.invalid.Load()
}

// Record stores a report.
func (t *LoadTracker) Record(now time.Time, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recordedAt.IsZero() {
		t.meanSlowness = load.Slowness
	} else {
		// The reports come with the answers, at uneven intervals.
		kept := math.Exp(-max(0, now.Sub(t.recordedAt).Seconds()) / _meanSlownessTimeConstant.Seconds())
		t.meanSlowness = kept*t.meanSlowness + (1-kept)*load.Slowness
	}
	t.load, t.recordedAt = load, now
	t.reporting.Store(true)
}

// Report is the newest report of an upstream.
type Report struct {
	Load
	At time.Time
	// MeanSlowness is the long-run mean of the reported slowness.
	MeanSlowness float64
}

// Newest returns the newest report, and false before the first.
func (t *LoadTracker) Newest() (Report, bool) {
	if !t.reporting.Load() {
		return Report{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return Report{Load: t.load, At: t.recordedAt, MeanSlowness: t.meanSlowness}, true
}

// Slowness returns the slowness that is in force: the newest report's or, if
// that is too old, the mean. It returns 0 before the first report.
func (t *LoadTracker) Slowness(now time.Time) float64 {
	if !t.reporting.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.recordedAt) > _reportLifetime {
		return t.meanSlowness
	}
	return t.load.Slowness
}

// RecordRun updates the work of a route with a call that ran for the given time,
// and at whose start the slowness was as given, 0 before the first report. Its end
// is now.
func (t *LoadTracker) RecordRun(now time.Time, route config.RouteName, ran time.Duration, slownessAtStart float64) {
	slowness := t.Slowness(now)
	if slowness == 0 || ran <= 0 {
		return
	}
	if slownessAtStart == 0 {
		slownessAtStart = slowness
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.routes[route]
	if !ok {
		if len(t.routes) >= _maxTrackedRoutes {
			return
		}
		r = &meanWork{}
		t.routes[route] = r
	}
	work := float64(ran) / ((slowness + slownessAtStart) / 2)
	if r.count > 0 {
		work = min(work, _maxTypicalWork*r.mean)
	}
	r.count++
	r.mean += max(_workSmoothing, 1/float64(r.count)) * (work - r.mean)
}

// Work returns how long a call of the route runs on average on a VM of usual
// speed; 0 if unknown.
func (t *LoadTracker) Work(route config.RouteName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.routes[route]; ok {
		return time.Duration(r.mean)
	}
	return 0
}
