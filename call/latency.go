package call

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilferry.example/lentilferry/config"
)

const (
	// _latencyUnit is the resolution of recorded latencies.
	_latencyUnit = 100 * time.Microsecond
	// _maxLatencyRoutes bounds the routes with histograms of their own; further
	// routes share those of _otherRoutes.
	_maxLatencyRoutes = 64
	_otherRoutes      = "others"
)

// latencyHistograms holds a latency histogram for each route and outcome. It is
// safe for concurrent use.
type latencyHistograms struct {
	mu     sync.Mutex
	routes map[config.RouteName]map[Outcome]*hdrhistogram.Histogram
}

func newLatencyHistograms() *latencyHistograms {
	return &latencyHistograms{routes: make(map[config.RouteName]map[Outcome]*hdrhistogram.Histogram)}
}

// record adds the latency of one call. Latencies above config.MaxTimeout count
// as that.
func (l *latencyHistograms) record(route config.RouteName, outcome Outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byOutcome, ok := l.routes[route]
	if !ok && len(l.routes) >= _maxLatencyRoutes {
		route = _otherRoutes
		byOutcome, ok = l.routes[route]
	}
	if !ok {
		byOutcome = make(map[Outcome]*hdrhistogram.Histogram)
		l.routes[route] = byOutcome
	}
	h, ok := byOutcome[outcome]
	if !ok {
		h = hdrhistogram.New(1, int64(config.MaxTimeout/_latencyUnit), 1)
		byOutcome[outcome] = h
	}
	// Ignored: the value is within the histogram's bounds.
	_ = h.RecordValue(int64(min(max(took, 0), config.MaxTimeout) / _latencyUnit))
}

// latencySummary is what the metrics show of one histogram. Latencies are in
// milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"most"`
}

// summary returns a latencySummary for each route and outcome.
func (l *latencyHistograms) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]map[string]latencySummary, len(l.routes))
	for route, byOutcome := range l.routes {
		outcomes := make(map[string]latencySummary, len(byOutcome))
		for outcome, h := range byOutcome {
			millis := func(v int64) float64 { return float64(v) * _latencyUnit.Seconds() * 1000 }
			outcomes[outcome.String()] = latencySummary{
				Count: h.TotalCount(),
				P50:   millis(h.ValueAtQuantile(50)),
				P90:   millis(h.ValueAtQuantile(90)),
				P99:   millis(h.ValueAtQuantile(99)),
				Max:   millis(h.Max()),
			}
		}
		all[string(route)] = outcomes
	}
	return all
}
