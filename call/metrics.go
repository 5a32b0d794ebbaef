package call

import (
	"expvar"
)

// Metrics counts calls by outcome and reason, counts retries and records
// latencies.
type Metrics struct {
	outcomes *expvar.Map
	reasons  *expvar.Map
	retries  *expvar.Int
	// aborted counts responses that broke after they had begun. It stays 0 at
	// owners.
	aborted *expvar.Int
	// crashes counts the attempts during which an upstream crashed. It stays 0 at
	// owners.
	crashes *expvar.Int
	// latency holds the latencies of calls by route and outcome. It stays empty
	// at owners, which record none.
	latency *latencyHistograms
}

// NewMetrics returns metrics and publishes them in parent as NAMEOutcomes,
// NAMEReasons, NAMERetries, NAMEAborted, NAMECrashes and NAMELatencyMillis, where
// NAME is the given name.
func NewMetrics(parent *expvar.Map, name string) *Metrics {
	m := &Metrics{outcomes: new(expvar.Map), reasons: new(expvar.Map), retries: new(expvar.Int), aborted: new(expvar.Int), crashes: new(expvar.Int), latency: newLatencyHistograms()}
	for _, o := range []Outcome{Answered, NotRun, Unknown} {
		m.outcomes.Add(o.String(), 0)
	}
	parent.Set(name+"Outcomes", m.outcomes)
	parent.Set(name+"Reasons", m.reasons)
	parent.Set(name+"Retries", m.retries)
	parent.Set(name+"Aborted", m.aborted)
	parent.Set(name+"Crashes", m.crashes)
	parent.Set(name+"LatencyMillis", expvar.Func(m.latency.summary))
	return m
}

// count counts one result.
func (m *Metrics) count(result Result) {
	m.outcomes.Add(result.Outcome.String(), 1)
	if result.Reason != "" {
		m.reasons.Add(string(result.Reason), 1)
	}
}
