package evidence

import (
	"fmt"
	"math"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

const (
	// _falsePositiveRate is the probability of a false alarm that the threshold of
	// one test is set for.
	_falsePositiveRate = 1e-4
	// _window is the least time whose calls are tested together.
	_window = time.Second
	// _slowQuantile and _slowFactor set the latency above which a call is
	// slow: that many times the quantile of the baseline, and _slowMargin.
	_slowQuantile = 0.9
	_slowFactor   = 1.25
	_slowMargin   = time.Millisecond
	// _minBaselineCalls is how many calls of the baseline set that latency.
	_minBaselineCalls = 50
	// _warmupCalls is how many of the candidate's first calls on a route in a
	// zone are not tested for slowness.
	_warmupCalls = 5
)

// Verdict is what a detector says of a candidate.
type Verdict struct {
	Bad bool
	// Reason says what was found and where; empty unless Bad.
	Reason string
	// CandidateCalls and CandidateFailures count the candidate's calls.
	CandidateCalls    uint64
	CandidateFailures uint64
	// BaselineCalls counts the baseline's calls.
	BaselineCalls uint64
}

// Detector tests a rollout's candidate against its baseline.
type Detector struct {
	baseline  config.VersionName
	candidate config.VersionName
	// slowFactor sets the latency above which a call is slow; see _slowFactor.
	slowFactor float64
	// minSpreadUpstreams is how many upstreams the candidate has when a fault of one
	// alone is not the version's.
	minSpreadUpstreams int
	// latest holds the newest report of each incarnation of each node.
	latest map[reporter]Report
	// candidates holds the candidate's upstreams that have reported calls.
	candidates map[membership.NodeID]bool
	streams    map[streamKey]*stream
	verdict    Verdict
}

// streamKey names the calls that one test looks at. An empty zone stands for
// all zones, an empty route for all routes.
type streamKey struct {
	zone  membership.Zone
	route config.RouteName
}

// stream is the calls of both versions in one place.
type stream struct {
	failures sequentialTest
	slowness sequentialTest
	// pending holds calls until the window is over and both versions have some.
	pendingCandidate Tally
	pendingBaseline  Tally
	// candidate and baseline hold all calls so far.
	candidate Tally
	baseline  Tally
	// candidateByNode holds the candidate's calls by upstream.
	candidateByNode map[membership.NodeID]Tally
	slowFactor      float64
	// slowThreshold is the latency above which a call is slowThreshold; 0 until it is known.
	slowThreshold time.Duration
	// lastTestAt is when the last window ended.
	lastTestAt time.Time
}

// NewDetector returns a detector that has seen nothing.
func NewDetector(baseline, candidate config.VersionName) *Detector {
	return &Detector{
		baseline:           baseline,
		candidate:          candidate,
		slowFactor:         _slowFactor,
		minSpreadUpstreams: _minSpreadUpstreams,
		latest:             make(map[reporter]Report),
		candidates:         make(map[membership.NodeID]bool),
		streams:            make(map[streamKey]*stream),
	}
}

// NewHeterogeneousDetector returns a detector for upstreams whose speeds differ by up
// to the given factor whatever their version, and where the candidate's calls
// may all go to one of its upstreams, so that a fault of that one counts as
// the version's.
func NewHeterogeneousDetector(baseline, candidate config.VersionName, speeds float64) *Detector {
	d := NewDetector(baseline, candidate)
	d.slowFactor = max(_slowFactor, speeds)
	d.minSpreadUpstreams = math.MaxInt
	return d
}

// Observe takes in a zone's reports. A report that was seen before, or is
// older than one seen, counts for nothing.
func (d *Detector) Observe(now time.Time, zone membership.Zone, reports []Report) {
	fresh := make(map[streamKey]bool)
	for _, r := range reports {
		who := reporter{node: r.Node, incarnation: r.Incarnation}
		known, seen := d.latest[who]
		if seen && known.Sequence >= r.Sequence {
			continue
		}
		d.latest[who] = r
		d.addReport(zone, r, known, fresh)
	}
	for key := range fresh {
		s := d.streams[key]
		if now.Sub(s.lastTestAt) >= _window {
			s.lastTestAt = now
			s.test()
			d.evaluate(key, s)
		}
	}
}

// addReport adds what a report says beyond the one before it.
func (d *Detector) addReport(zone membership.Zone, r, before Report, fresh map[streamKey]bool) {
	earlier := make(map[TallyKey]Tally, len(before.Tallies))
	for _, t := range before.Tallies {
		earlier[t.Key] = t
	}
	for _, t := range r.Tallies {
		difference, ok := t.minus(earlier[t.Key])
		if !ok || difference.Calls == 0 {
			continue
		}
		for _, key := range []streamKey{{zone: zone, route: t.Key.Route}, {route: t.Key.Route}, {zone: zone}, {}} {
			d.stream(key).add(r.Node, difference, t.Key.Version == d.candidate)
			fresh[key] = true
		}
		d.countCalls(difference)
		if t.Key.Version == d.candidate {
			d.candidates[r.Node] = true
		}
	}
}

func (d *Detector) countCalls(t Tally) {
	switch t.Key.Version {
	case d.candidate:
		d.verdict.CandidateCalls += t.Calls
		d.verdict.CandidateFailures += t.Failures
	case d.baseline:
		d.verdict.BaselineCalls += t.Calls
	}
}

func (d *Detector) stream(key streamKey) *stream {
	s, ok := d.streams[key]
	if !ok {
		s = &stream{
			failures:        sequentialTest{maxGain: _maxFailureGain},
			slowness:        sequentialTest{maxGain: _maxSlownessGain},
			candidateByNode: make(map[membership.NodeID]Tally),
			slowFactor:      d.slowFactor,
		}
		d.streams[key] = s
	}
	return s
}

// evaluate compares the stream's evidence with the threshold, which allows for
// the number of tests.
func (d *Detector) evaluate(key streamKey, s *stream) {
	if d.verdict.Bad {
		return
	}
	threshold := math.Log(float64(2*len(d.streams)) / _falsePositiveRate)
	place := "all routes"
	if key.route != "" {
		place = fmt.Sprintf("route %s", key.route)
	}
	if key.zone != "" {
		place += fmt.Sprintf(" in zone %s", key.zone)
	}
	switch {
	case s.failures.evidence() >= threshold && d.isVersionWide(s, func(t Tally) uint64 { return t.Failures }):
		d.verdict.Bad = true
		d.verdict.Reason = fmt.Sprintf("%s fails on %s: %d of %d calls, %s %d of %d",
			d.candidate, place, s.candidate.Failures, s.candidate.Calls, d.baseline, s.baseline.Failures, s.baseline.Calls)
	case s.slowness.evidence() >= threshold && d.isVersionWide(s, func(t Tally) uint64 { return t.Latency.Above(s.slowThreshold) }):
		d.verdict.Bad = true
		d.verdict.Reason = fmt.Sprintf("%s is slow on %s: %d of %d calls took over %s, %s %d of %d",
			d.candidate, place, s.candidate.Latency.Above(s.slowThreshold), s.candidate.Calls, s.slowThreshold,
			d.baseline, s.baseline.Latency.Above(s.slowThreshold), s.baseline.Calls)
	}
}

// Verdict returns what the detector says by now.
func (d *Detector) Verdict() Verdict {
	return d.verdict
}

func (s *stream) add(node membership.NodeID, t Tally, candidate bool) {
	if candidate {
		s.pendingCandidate = s.pendingCandidate.Plus(t)
		s.candidate = s.candidate.Plus(t)
		s.candidateByNode[node] = s.candidateByNode[node].Plus(t)
		return
	}
	s.pendingBaseline = s.pendingBaseline.Plus(t)
	s.baseline = s.baseline.Plus(t)
}

const (
	// _minSpreadUpstreams is how many of the candidate's upstreams there are when a
	// fault of one alone is not the version's.
	_minSpreadUpstreams = 3
	// _minSpreadBadCalls is how many bad calls others than the worst must have.
	_minSpreadBadCalls = 3
	// _minSpreadRateShare is which part of the version's rate of bad calls the others
	// must have at the least.
	_minSpreadRateShare = 0.5
)

// isVersionWide reports whether a stream's bad calls are the version's: where the
// version has several upstreams, not those of a single one.
func (d *Detector) isVersionWide(s *stream, bad func(Tally) uint64) bool {
	if len(d.candidates) < d.minSpreadUpstreams {
		return true
	}
	var all, worst sample
	for _, t := range s.candidateByNode {
		one := sample{calls: t.Calls, bad: bad(t)}
		all = sample{calls: all.calls + one.calls, bad: all.bad + one.bad}
		if one.bad > worst.bad {
			worst = one
		}
	}
	others := sample{calls: all.calls - worst.calls, bad: all.bad - worst.bad}
	return others.bad >= _minSpreadBadCalls && others.rate() >= _minSpreadRateShare*all.rate()
}

// _minUnpairedCalls is how many of the candidate's calls without any of the
// baseline's are tested against the baseline's past.
const _minUnpairedCalls = 20

// test takes the pending calls into the tests.
func (s *stream) test() {
	candidate, baseline := s.pendingCandidate, s.pendingBaseline
	alone := baseline.Calls == 0 && candidate.Calls >= _minUnpairedCalls && s.baseline.Calls > 0
	if !alone && (candidate.Calls == 0 || baseline.Calls == 0) {
		return
	}
	s.pendingCandidate, s.pendingBaseline = Tally{}, Tally{}
	failed := sample{calls: candidate.Calls, bad: candidate.Failures}
	if alone {
		s.failures.compareWithRate(failed, smoothedRate(sample{calls: s.baseline.Calls, bad: s.baseline.Failures}))
	} else {
		s.failures.compare(failed, sample{calls: baseline.Calls, bad: baseline.Failures})
	}
	if !alone {
		s.testSlowness(candidate, baseline)
	}
}

func (s *stream) testSlowness(candidate, baseline Tally) {
	if s.slowThreshold == 0 && s.baseline.Calls >= _minBaselineCalls {
		s.slowThreshold = time.Duration(float64(s.baseline.Latency.Quantile(_slowQuantile))*s.slowFactor) + _slowMargin
	}
	if s.slowThreshold == 0 || s.candidate.Calls-candidate.Calls < _warmupCalls {
		return
	}
	s.slowness.compare(
		sample{calls: candidate.Calls, bad: candidate.Latency.Above(s.slowThreshold)},
		sample{calls: baseline.Calls, bad: baseline.Latency.Above(s.slowThreshold)},
	)
}

// smoothedRate returns the rate of bad calls, never quite 0.
func smoothedRate(past sample) float64 {
	return (float64(past.bad) + 1) / (float64(past.calls) + 2)
}
