package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/config"
)

// serviceModel is what a sender has learned of a service whose upstreams report
// their load. It is safe for concurrent use.
type serviceModel struct {
	// reportedAt is when an upstream last reported its load, in nanoseconds since
	// 1970; 0 if none ever did.
	reportedAt atomic.Int64

	mu     sync.Mutex
	routes map[config.RouteName]*routeModel
	// pace and utilization are moving averages over the reports of all upstreams,
	// and paceCount the number of those that tell a pace.
	pace, utilization float64
	paceCount         int
}

// routeModel is what a sender has learned of a route's calls.
type routeModel struct {
	// work is how long a call runs at an upstream of pace 1 on a VM of usual speed,
	// in nanoseconds; 0 if unknown.
	work float64
	// responseBytes is the mean size of a response.
	responseBytes float64
}

func newServiceModel() *serviceModel {
	return &serviceModel{routes: make(map[config.RouteName]*routeModel), pace: 1}
}

// markReporting records that an upstream has reported its load.
func (m *serviceModel) markReporting(now time.Time) {
	m.reportedAt.Store(now.UnixNano())
}

// isReporting reports whether the service's upstreams report their load.
func (m *serviceModel) isReporting(now time.Time) bool {
	at := m.reportedAt.Load()
	return at != 0 && now.UnixNano()-at < int64(_reportingLifetime)
}

// route returns the model of a route, nil if too many are known. The caller
// holds m.mu.
func (m *serviceModel) route(name config.RouteName) *routeModel {
	r, ok := m.routes[name]
	if !ok && len(m.routes) < _maxRouteModels {
		r = &routeModel{}
		m.routes[name] = r
	}
	return r
}

// learn updates the model with a report of an upstream of the given pace, 0 if
// unknown, and returns the pace that it has by that report.
func (m *serviceModel) learn(load Load, pace float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load.Slots > 0 {
		m.utilization += _workSmoothing * (min(1, float64(load.Calls)/float64(load.Slots)) - m.utilization)
	}
	work := float64(load.Reported.Work)
	r := m.route(load.Reported.Route)
	if work <= 0 || r == nil {
		return pace
	}
	if r.work == 0 {
		reference := pace
		if reference == 0 {
			reference = m.pace
		}
		r.work = work / reference
	}
	measured := work / r.work
	if pace == 0 {
		pace = measured
	} else {
		pace += _paceSmoothing * (measured - pace)
	}
	r.work += _workSmoothing * (work/pace - r.work)
	// Paces are relative to the first call that was reported, which may have taken
	// many times as long as others. The mean must soon follow, or upstreams that
	// are not known yet seem far slower than the others.
	m.paceCount++
	m.pace += max(_workSmoothing, 1/float64(m.paceCount)) * (pace - m.pace)
	return pace
}

// recordResponse updates the mean size of a route's responses.
func (m *serviceModel) recordResponse(name config.RouteName, bytes int64) {
	if bytes < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.route(name); r != nil {
		r.responseBytes += _workSmoothing * (float64(bytes) - r.responseBytes)
	}
}

// expectation returns what a choice needs to know of a call of the route.
func (m *serviceModel) expectation(name config.RouteName) expectation {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := expectation{pace: m.pace, utilization: m.utilization}
	if r, ok := m.routes[name]; ok {
		x.work, x.responseBytes = time.Duration(r.work), r.responseBytes
	}
	return x
}
