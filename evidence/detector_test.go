package evidence

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/internal/testseed"
	"lentilferry.example/lentilferry/membership"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var _start = time.Unix(1_800_000_000, 0)

// behavior describes how a version responds to calls.
type behavior struct {
	// failureRate is the probability that a call fails.
	failureRate float64
	// latencyFactor multiplies the latency of a healthy version.
	latencyFactor float64
}

var _healthy = behavior{failureRate: 0.002, latencyFactor: 1}

// trial simulates the calls of one rollout in steps of one second, which is
// also the detector's window.
type trial struct {
	// callsPerSecond is the rate of calls to the service.
	callsPerSecond int
	// share is the candidate's share of the calls.
	share float64
	// upstreams is the number of upstreams of each version.
	upstreams int
	// candidate and baseline return the behavior of a version in a given second
	// at one of its upstreams.
	candidate func(second, upstream int) behavior
	baseline  func(second, upstream int) behavior
	seconds   int
	// affected reports whether the candidate behaves as candidate returns on a
	// route in a zone; elsewhere it is healthy. Nil means everywhere.
	affected func(route, zone int) bool
	// useFixedThreshold replaces the detector's verdict with that of a fixed
	// threshold.
	useFixedThreshold bool
}

// fixedThreshold is the simple rule that the detector is compared with: a
// version is bad if 5% of at least 100 of its calls failed.
func fixedThreshold(v Verdict) bool {
	return v.CandidateCalls >= 100 && 20*v.CandidateFailures >= v.CandidateCalls
}

const (
	_trialRoutes = 3
	_trialZones  = 2
)

// always returns a function that returns b for any second and upstream.
func always(b behavior) func(int, int) behavior {
	return func(int, int) behavior { return b }
}

// result is the outcome of a trial.
type result struct {
	bad    bool
	reason string
	// calls and seconds are the candidate's calls and the time until the
	// verdict.
	calls   uint64
	seconds int
}

// run simulates the trial until the verdict is bad or the time is over.
func (tr trial) run(seed uint64) result {
	rnd := rand.New(rand.NewPCG(seed, 7))
	d := NewDetector("v1", "v2")
	recorders := make(map[config.VersionName][]*Recorder)
	for _, v := range []config.VersionName{"v1", "v2"} {
		for range tr.upstreams {
			r := NewRecorder(v)
			r.SetRollout("x")
			recorders[v] = append(recorders[v], r)
		}
	}
	for second := range tr.seconds {
		now := _start.Add(time.Duration(second) * time.Second)
		for range tr.callsPerSecond {
			tr.call(rnd, recorders, second)
		}
		// Upstreams are spread over the zones in turn.
		for zone := range _trialZones {
			d.Observe(now, membership.Zone(fmt.Sprint("z", zone)), reports(recorders, uint64(second+1), zone))
		}
		v := d.Verdict()
		if v.Bad && !tr.useFixedThreshold || tr.useFixedThreshold && fixedThreshold(v) {
			return result{bad: true, reason: v.Reason, calls: v.CandidateCalls, seconds: second + 1}
		}
	}
	return result{calls: d.Verdict().CandidateCalls, seconds: tr.seconds}
}

// call simulates one call.
func (tr trial) call(rnd *rand.Rand, recorders map[config.VersionName][]*Recorder, second int) {
	version, behave := config.VersionName("v1"), tr.baseline
	if rnd.Float64() < tr.share {
		version, behave = "v2", tr.candidate
	}
	u := rnd.IntN(tr.upstreams)
	route := rnd.IntN(_trialRoutes)
	s := behave(second, u)
	if version == "v2" && tr.affected != nil && !tr.affected(route, u%_trialZones) {
		s = _healthy
	}
	took := time.Duration(s.latencyFactor * (2 + rnd.ExpFloat64()) * float64(5*time.Millisecond))
	recorders[version][u].Observe(_start, Observation{
		Route: config.RouteName(fmt.Sprint("r", route)), Failed: rnd.Float64() < s.failureRate, Latency: took,
	})
}

// reports returns the reports of the upstreams of one zone. Upstreams are
// assigned to the zones in turn.
func reports(recorders map[config.VersionName][]*Recorder, sequence uint64, zone int) []Report {
	var all []Report
	for v, ofVersion := range recorders {
		for i, r := range ofVersion {
			if i%_trialZones != zone {
				continue
			}
			all = append(all, Report{
				Rollout: "x", Node: membership.NodeID(fmt.Sprint(v, "-", i)), Incarnation: 1,
				Sequence: sequence, Tallies: r.Tallies(),
			})
		}
	}
	return all
}

// runSeeds runs the trial with n seeds. It returns the number of bad verdicts,
// and the mean number of the candidate's calls and of seconds that they took.
func (tr trial) runSeeds(n int) (bad int, calls, seconds float64) {
	for seed := range n {
		r := tr.run(uint64(seed))
		if r.bad {
			bad++
			calls += float64(r.calls)
			seconds += float64(r.seconds)
		}
	}
	if bad > 0 {
		calls /= float64(bad)
		seconds /= float64(bad)
	}
	return bad, calls, seconds
}

// baseTrial returns a trial of two healthy versions.
func baseTrial() trial {
	return trial{callsPerSecond: 60, share: 0.05, upstreams: 4, candidate: always(_healthy), baseline: always(_healthy), seconds: 120}
}

// The bounds follow from the needs of users: good versions are not rolled back,
// bad ones are, and only few calls go to the bad ones.
func TestVerdicts(t *testing.T) {
	const n = 40
	for _, test := range []struct {
		name   string
		change func(*trial)
		// minBad and maxBad bound the number of bad verdicts.
		minBad, maxBad int
		// maxCalls bounds the mean number of calls to the bad version before
		// the verdict.
		maxCalls float64
	}{
		{name: "good", change: func(*trial) {}, maxBad: 0},
		{name: "good, half of the calls", change: func(tr *trial) { tr.share = 0.5 }, maxBad: 0},
		{name: "both fail often", change: func(tr *trial) {
			tr.candidate, tr.baseline = always(behavior{0.1, 1}), always(behavior{0.1, 1})
		}, maxBad: 0},
		{name: "both become slow", change: func(tr *trial) {
			late := func(second, _ int) behavior {
				if second > 60 {
					return behavior{0.002, 4}
				}
				return _healthy
			}
			tr.candidate, tr.baseline = late, late
		}, maxBad: 0},
		{name: "bursts hit both", change: func(tr *trial) {
			burst := func(second, _ int) behavior {
				if second%20 == 0 {
					return behavior{0.3, 5}
				}
				return _healthy
			}
			tr.candidate, tr.baseline = burst, burst
		}, maxBad: 0},
		{name: "one upstream of four fails", change: func(tr *trial) {
			tr.candidate = func(_, upstream int) behavior {
				if upstream == 0 {
					return behavior{1, 1}
				}
				return _healthy
			}
		}, maxBad: 0},
		{name: "fails always", change: func(tr *trial) { tr.candidate = always(behavior{1, 1}) }, minBad: n, maxBad: n, maxCalls: 12},
		{name: "fails half of the calls", change: func(tr *trial) { tr.candidate = always(behavior{0.5, 1}) }, minBad: n, maxBad: n, maxCalls: 20},
		{name: "fails one call in ten", change: func(tr *trial) { tr.candidate = always(behavior{0.1, 1}) }, minBad: n, maxBad: n, maxCalls: 100},
		{name: "fails after a minute", change: func(tr *trial) {
			tr.candidate = func(second, _ int) behavior {
				if second >= 60 {
					return behavior{0.5, 1}
				}
				return _healthy
			}
		}, minBad: n, maxBad: n, maxCalls: 180 + 30},
		{name: "twice as slow", change: func(tr *trial) { tr.candidate = always(behavior{0.002, 2}) }, minBad: n, maxBad: n, maxCalls: 100},
		{name: "half as slow again", change: func(tr *trial) {
			tr.candidate = always(behavior{0.002, 1.5})
			tr.share = 0.25
		}, minBad: n, maxBad: n, maxCalls: 600},
		{name: "fails on one route", change: func(tr *trial) {
			tr.candidate = always(behavior{0.5, 1})
			tr.affected = func(route, _ int) bool { return route == 1 }
		}, minBad: n, maxBad: n, maxCalls: 100},
		{name: "fails in one zone", change: func(tr *trial) {
			tr.candidate = always(behavior{0.5, 1})
			tr.affected = func(_, zone int) bool { return zone == 1 }
		}, minBad: n, maxBad: n, maxCalls: 100},
		{name: "slow under load", change: func(tr *trial) {
			tr.candidate = func(second, _ int) behavior {
				if second%30 > 15 {
					return behavior{0.002, 3}
				}
				return _healthy
			}
		}, minBad: n, maxBad: n, maxCalls: 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tr := baseTrial()
			test.change(&tr)
			bad, calls, seconds := tr.runSeeds(n)
			t.Logf("%d of %d verdicts are bad, after %.1f calls and %.1f s on average", bad, n, calls, seconds)
			assert.Assert(t, bad >= test.minBad && bad <= test.maxBad, "%d of %d verdicts are bad", bad, n)
			assert.Assert(t, calls <= test.maxCalls, "%.1f calls went to the bad version on average", calls)
		})
	}
}

// A bad version must get no call later than 5 s after its 50th bad answer.
// Reporting the calls and telling all nodes takes up to one second of that, so
// the verdict must come within 4 s. Here the 50th slow call ends in the first
// second.
func TestSlowVersionIsFoundInTime(t *testing.T) {
	const n, within = 5, 1 + 4
	tr := baseTrial()
	tr.callsPerSecond, tr.share, tr.upstreams = 1200, 0.1, 12
	tr.candidate = always(behavior{0.002, 3})
	bad, calls, seconds := tr.runSeeds(n)
	assert.Equal(t, bad, n)
	assert.Assert(t, seconds <= within, "found after %.1f s and %.0f calls", seconds, calls)
}

// Lost, duplicated and late reports yield the same counts as if each had
// arrived once.
func TestReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecorder("v2")
		r.SetRollout("x")
		c := NewCollector()
		d := NewDetector("v1", "v2")
		var sent []Report
		for i := range rapid.IntRange(1, 20).Draw(t, "reports") {
			for range rapid.IntRange(0, 5).Draw(t, "calls") {
				r.Observe(_start, Observation{Route: "r", Latency: time.Millisecond})
			}
			sent = append(sent, Report{Rollout: "x", Node: "n", Incarnation: 1, Sequence: uint64(i + 1), Tallies: r.Tallies()})
			for range rapid.IntRange(0, 2).Draw(t, "deliveries") {
				c.Add(_start, sent[rapid.IntRange(0, i).Draw(t, "which")])
			}
			d.Observe(_start, "a", c.Reports("x"))
		}
		c.Add(_start, sent[len(sent)-1])
		d.Observe(_start, "a", c.Reports("x"))
		d.Observe(_start, "a", c.Reports("x"))
		want := uint64(0)
		for _, tally := range r.Tallies() {
			want += tally.Calls
		}
		assert.Equal(t, d.Verdict().CandidateCalls, want)
	})
}

// A restarted node counts from zero; the calls before its restart still count.
func TestRestartedReporter(t *testing.T) {
	d := NewDetector("v1", "v2")
	c := NewCollector()
	for incarnation := range uint64(3) {
		r := NewRecorder("v2")
		r.SetRollout("x")
		for range 10 {
			r.Observe(_start, Observation{Route: "r"})
		}
		c.Add(_start, Report{Rollout: "x", Node: "n", Incarnation: incarnation, Sequence: 1, Tallies: r.Tallies()})
		d.Observe(_start, "a", c.Reports("x"))
	}
	assert.Equal(t, d.Verdict().CandidateCalls, uint64(30))
}

// A quantile is the upper bound of the bucket with the recorded latency, and a
// latency above _longestLatency counts as that.
func TestLatencyBounds(t *testing.T) {
	r := NewRecorder("v")
	r.SetRollout("x")
	for range 90 {
		r.Observe(_start, Observation{Route: "r", Latency: 10 * time.Millisecond})
	}
	for range 10 {
		r.Observe(_start, Observation{Route: "r", Latency: time.Hour})
	}
	l := r.Tallies()[0].Latency
	assert.Equal(t, l.Total(), uint64(100))
	assert.Assert(t, l.Quantile(0.5) >= 10*time.Millisecond && l.Quantile(0.5) < 12*time.Millisecond, "%s", l.Quantile(0.5))
	assert.Equal(t, l.Above(time.Second), uint64(10))
}

// BenchmarkTrials compares the detector with the fixed threshold over 500
// seeds: how many versions are judged bad, and after how many of their calls.
func BenchmarkTrials(b *testing.B) {
	const seeds = 500
	for name, change := range map[string]func(*trial){
		"good":       func(*trial) {},
		"both-fail":  func(tr *trial) { tr.candidate, tr.baseline = always(behavior{0.1, 1}), always(behavior{0.1, 1}) },
		"fails-0.02": func(tr *trial) { tr.candidate = always(behavior{0.02, 1}) },
		"fails-0.1":  func(tr *trial) { tr.candidate = always(behavior{0.1, 1}) },
		"fails-1":    func(tr *trial) { tr.candidate = always(behavior{1, 1}) },
		"twice-slow": func(tr *trial) { tr.candidate = always(behavior{0.002, 2}) },
	} {
		for _, fixed := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/fixed=%t", name, fixed), func(b *testing.B) {
				tr := baseTrial()
				tr.useFixedThreshold = fixed
				change(&tr)
				for b.Loop() {
					bad, calls, _ := tr.runSeeds(seeds)
					b.ReportMetric(100*float64(bad)/seeds, "condemned-%")
					b.ReportMetric(calls, "calls")
				}
			})
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	r := NewRecorder("v1")
	r.SetRollout("x")
	for b.Loop() {
		r.Observe(_start, Observation{Route: "r", Latency: 7 * time.Millisecond})
	}
}
