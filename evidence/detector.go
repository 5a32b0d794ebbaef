package evidence

import (
	"fmt"
	"math"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

const (
	// _falsePositiveRate is the targeted probability of a false positive. The
	// threshold divides it by the number of tests.
	_falsePositiveRate = 1e-4
	// _window is the shortest time between two tests of a stream.
	_window = time.Second
	// _slowQuantile, _slowFactor and _slowMargin set the latency above which a
	// call is slow: the baseline's quantile times the factor, plus the margin.
	_slowQuantile = 0.9
	_slowFactor   = 1.25
	_slowMargin   = time.Millisecond
	// _minBaselineCalls is the number of baseline calls needed to set that
	// latency.
	_minBaselineCalls = 50
	// _warmupCalls is the number of the candidate's first calls in a stream
	// that are not tested for slowness.
	_warmupCalls = 5
)

// Verdict is a detector's current judgment of a candidate.
type Verdict struct {
	Bad bool
	// Reason states what was found and where; empty unless Bad. It is stored
	// and sent to nodes of other builds.
	Reason string
	// CandidateCalls and CandidateFailures count the candidate's calls.
	CandidateCalls    uint64
	CandidateFailures uint64
	// BaselineCalls counts the baseline's calls.
	BaselineCalls uint64
}

// Detector tests a rollout's candidate version against its baseline. It is not
// safe for concurrent use.
type Detector struct {
	// baseline is the version that a verdict names and whose calls it counts.
	// The tests compare the candidate with all other versions together.
	baseline  config.VersionName
	candidate config.VersionName
	// slowFactor is used in place of _slowFactor.
	slowFactor float64
	// minSpreadUpstreams is used in place of _minSpreadUpstreams.
	minSpreadUpstreams int
	// latest holds the newest report of each reporter.
	latest map[reporter]Report
	// candidates holds the nodes that reported calls to the candidate.
	candidates map[membership.NodeID]bool
	streams    map[streamKey]*stream
	verdict    Verdict
}

// streamKey identifies the calls that one stream covers. An empty zone stands
// for all zones, an empty route for all routes.
type streamKey struct {
	zone  membership.Zone
	route config.RouteName
}

// stream holds the calls to both versions of one streamKey and their tests.
type stream struct {
	failures sequentialTest
	slowness sequentialTest
	// pendingCandidate and pendingBaseline hold the calls that were not tested
	// yet, until the window has passed and both versions have some.
	pendingCandidate Tally
	pendingBaseline  Tally
	// candidate and baseline hold all calls so far.
	candidate Tally
	baseline  Tally
	// candidateByNode holds the candidate's calls by node.
	candidateByNode map[membership.NodeID]Tally
	slowFactor      float64
	// slowThreshold is the latency above which a call is slow; 0 until it is
	// known.
	slowThreshold time.Duration
	// lastTestAt is when the last window ended.
	lastTestAt time.Time
}

// NewDetector returns a detector without any observations.
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

// NewHeterogeneousDetector returns a detector for upstreams whose speeds differ
// by up to the given factor, whatever their version, and where all of the
// candidate's calls may go to a single upstream, so that a fault of that
// upstream counts as a fault of the version.
func NewHeterogeneousDetector(baseline, candidate config.VersionName, speedRatio float64) *Detector {
	d := NewDetector(baseline, candidate)
	d.slowFactor = max(_slowFactor, speedRatio)
	d.minSpreadUpstreams = math.MaxInt
	return d
}

// Observe adds a zone's reports and runs the tests that are due. Reports that
// are not newer than the last one of their reporter are ignored.
func (d *Detector) Observe(now time.Time, zone membership.Zone, reports []Report) {
	changed := make(map[streamKey]bool)
	for _, r := range reports {
		key := reporter{node: r.Node, incarnation: r.Incarnation}
		last, seen := d.latest[key]
		if seen && last.Sequence >= r.Sequence {
			continue
		}
		d.latest[key] = r
		d.addReport(zone, r, last, changed)
	}
	for key := range changed {
		s := d.streams[key]
		if now.Sub(s.lastTestAt) >= _window {
			s.lastTestAt = now
			s.test()
			d.evaluate(key, s)
		}
	}
}

// addReport adds the difference between a report and the previous one of its
// reporter, and marks the streams that received calls in changed.
func (d *Detector) addReport(zone membership.Zone, r, previous Report, changed map[streamKey]bool) {
	earlier := make(map[TallyKey]Tally, len(previous.Tallies))
	for _, t := range previous.Tallies {
		earlier[t.Key] = t
	}
	for _, t := range r.Tallies {
		added, ok := t.minus(earlier[t.Key])
		if !ok || added.Calls == 0 {
			continue
		}
		for _, key := range []streamKey{{zone: zone, route: t.Key.Route}, {route: t.Key.Route}, {zone: zone}, {}} {
			d.stream(key).add(r.Node, added, t.Key.Version == d.candidate)
			changed[key] = true
		}
		d.countCalls(added)
		if t.Key.Version == d.candidate {
			d.candidates[r.Node] = true
		}
	}
}

// countCalls adds calls to the verdict's counts.
func (d *Detector) countCalls(t Tally) {
	switch t.Key.Version {
	case d.candidate:
		d.verdict.CandidateCalls += t.Calls
		d.verdict.CandidateFailures += t.Failures
	case d.baseline:
		d.verdict.BaselineCalls += t.Calls
	}
}

// stream returns the stream of a key, and creates it on first use.
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

// evaluate compares a stream's evidence with the threshold. The threshold is
// corrected for the number of tests, two for each stream.
func (d *Detector) evaluate(key streamKey, s *stream) {
	if d.verdict.Bad {
		return
	}
	threshold := math.Log(float64(2*len(d.streams)) / _falsePositiveRate)
	scope := "all routes"
	if key.route != "" {
		scope = fmt.Sprintf("route %s", key.route)
	}
	if key.zone != "" {
		scope += fmt.Sprintf(" in zone %s", key.zone)
	}
	switch {
	case s.failures.evidence() >= threshold && d.isVersionWide(s, func(t Tally) uint64 { return t.Failures }):
		d.verdict.Bad = true
		d.verdict.Reason = fmt.Sprintf("%s fails on %s: %d of %d calls, %s %d of %d",
			d.candidate, scope, s.candidate.Failures, s.candidate.Calls, d.baseline, s.baseline.Failures, s.baseline.Calls)
	case s.slowness.evidence() >= threshold && d.isVersionWide(s, func(t Tally) uint64 { return t.Latency.Above(s.slowThreshold) }):
		d.verdict.Bad = true
		d.verdict.Reason = fmt.Sprintf("%s is slow on %s: %d of %d calls took over %s, %s %d of %d",
			d.candidate, scope, s.candidate.Latency.Above(s.slowThreshold), s.candidate.Calls, s.slowThreshold,
			d.baseline, s.baseline.Latency.Above(s.slowThreshold), s.baseline.Calls)
	}
}

// Verdict returns the current verdict. Once Bad, it stays so.
func (d *Detector) Verdict() Verdict {
	return d.verdict
}

// add adds a node's calls to one of the versions.
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
	// _minSpreadUpstreams is the minimum number of the candidate's upstreams at
	// which a fault of a single one is not attributed to the version.
	_minSpreadUpstreams = 3
	// _minSpreadBadCalls is the minimum number of bad calls that the upstreams
	// other than the worst must have together.
	_minSpreadBadCalls = 3
	// _minSpreadRateShare is the minimum ratio of the rate of bad calls of
	// these other upstreams to that of all upstreams.
	_minSpreadRateShare = 0.5
)

// isVersionWide reports whether a stream's bad calls are attributed to the
// version: if the version has several upstreams, they must not come from a
// single one.
func (d *Detector) isVersionWide(s *stream, bad func(Tally) uint64) bool {
	if len(d.candidates) < d.minSpreadUpstreams {
		return true
	}
	var all, worst sample
	for _, t := range s.candidateByNode {
		node := sample{calls: t.Calls, bad: bad(t)}
		all = sample{calls: all.calls + node.calls, bad: all.bad + node.bad}
		if node.bad > worst.bad {
			worst = node
		}
	}
	others := sample{calls: all.calls - worst.calls, bad: all.bad - worst.bad}
	return others.bad >= _minSpreadBadCalls && others.rate() >= _minSpreadRateShare*all.rate()
}

// _minUnpairedCalls is the minimum number of the candidate's calls, without any
// concurrent call of the baseline, that are tested against the baseline's past
// rate.
const _minUnpairedCalls = 20

// test moves the pending calls into the sequential tests, if there are enough.
func (s *stream) test() {
	candidate, baseline := s.pendingCandidate, s.pendingBaseline
	unpaired := baseline.Calls == 0 && candidate.Calls >= _minUnpairedCalls && s.baseline.Calls > 0
	if !unpaired && (candidate.Calls == 0 || baseline.Calls == 0) {
		return
	}
	s.pendingCandidate, s.pendingBaseline = Tally{}, Tally{}
	failures := sample{calls: candidate.Calls, bad: candidate.Failures}
	if unpaired {
		s.failures.compareWithRate(failures, smoothedRate(sample{calls: s.baseline.Calls, bad: s.baseline.Failures}))
	} else {
		s.failures.compare(failures, sample{calls: baseline.Calls, bad: baseline.Failures})
	}
	if !unpaired {
		s.testSlowness(candidate, baseline)
	}
}

// testSlowness compares the versions' rates of slow calls, once slowThreshold
// is known and the candidate has received its warmup calls.
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

// smoothedRate returns the rate of bad calls with Laplace smoothing, so that it
// is never 0.
func smoothedRate(past sample) float64 {
	return (float64(past.bad) + 1) / (float64(past.calls) + 2)
}
