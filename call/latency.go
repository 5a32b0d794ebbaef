package call

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilferry.example/lentilferry/config"
)

const (
	// _latencyUnit is the resolution of latencies.
	_latencyUnit = 100 * time.Microsecond
	// _latencyRoutesMost bounds the routes whose latencies are told apart; those
	// beyond count under _otherRoutes.
	_maxLatencyRoutes = 64
	_otherRoutes      = "others"
)

// latencies holds a histogram for each route and outcome. It is safe for
// concurrent use.
type latencyHistograms struct {
	mu     sync.Mutex
	routes map[config.RouteName]map[Outcome]*hdrhistogram.Histogram
}

func newLatencyHistograms() *latencyHistograms {
	return &latencyHistograms{routes: make(map[config.RouteName]map[Outcome]*hdrhistogram.Histogram)}
}

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
	// A latency over the longest counts as the longest.
	_ = h.RecordValue(int64(min(max(took, 0), config.MaxTimeout) / _latencyUnit))
}

// latencySummary is what metrics show of one histogram; times are in
// milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"most"`
}

// summary returns the latencies by route and outcome.
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
