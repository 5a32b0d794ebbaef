package call

import (
	"expvar"
)

// Metrics counts calls by outcome and reason.
type Metrics struct {
	outcomes *expvar.Map
	reasons  *expvar.Map
	retries  *expvar.Int
}

// NewMetrics returns counters below the given map, under the names
// NAMEOutcomes, NAMEReasons and NAMERetries.
func NewMetrics(parent *expvar.Map, name string) *Metrics {
	m := &Metrics{outcomes: new(expvar.Map), reasons: new(expvar.Map), retries: new(expvar.Int)}
	for _, o := range []Outcome{Answered, NotRun, Unknown} {
		m.outcomes.Add(o.String(), 0)
	}
	parent.Set(name+"Outcomes", m.outcomes)
	parent.Set(name+"Reasons", m.reasons)
	parent.Set(name+"Retries", m.retries)
	return m
}

func (m *Metrics) count(v Verdict) {
	m.outcomes.Add(v.Outcome.String(), 1)
	if v.Reason != "" {
		m.reasons.Add(string(v.Reason), 1)
	}
}
