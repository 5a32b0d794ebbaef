package allotment

import "time"

const (
	// _avoidTime is for how long a receiver that failed is avoided. Members that
	// have failed are found by probes in about this time.
	_avoidTime = 3 * time.Second
	// _failuresToAvoid is the number of successive failures after which a
	// receiver is avoided. A single lost message must not change the receiver,
	// since the next one needs full reports.
	_failuresToAvoid = 2
)

// Preference chooses the receiver of reports among the candidates for a role.
// It is not safe for concurrent use.
type Preference struct {
	failures  map[string]int
	avoidTill map[string]time.Time
}

// NewPreference returns a preference that avoids no candidate.
func NewPreference() *Preference {
	return &Preference{failures: make(map[string]int), avoidTill: make(map[string]time.Time)}
}

// Pick returns the index of the first candidate that isn't avoided, or else that
// of the first one; -1 if there are none.
func (p *Preference) Pick(now time.Time, candidates []string) int {
	for i, name := range candidates {
		if !now.Before(p.avoidTill[name]) {
			return i
		}
	}
	return min(0, len(candidates)-1)
}

// Record records whether a candidate has answered. One that has failed twice in
// succession is avoided for a while.
func (p *Preference) Record(now time.Time, name string, answered bool) {
	if answered {
		delete(p.failures, name)
		delete(p.avoidTill, name)
		return
	}
	p.failures[name]++
	if p.failures[name] >= _failuresToAvoid {
		p.avoidTill[name] = now.Add(_avoidTime)
	}
}
