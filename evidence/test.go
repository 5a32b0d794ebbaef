package evidence

import "math"

// sample is a number of calls, some of them bad.
type sample struct {
	calls uint64
	// bad is at most calls.
	bad uint64
}

// rate returns the part of the calls that is bad, 0 without calls.
func (s sample) rate() float64 {
	return float64(s.bad) / float64(max(1, s.calls))
}

const (
	// _toleratedRatio is how many times the baseline's rate of bad calls the
	// candidate may have.
	_toleratedRatio = 1.5
	// _toleratedDrift replaces _toleratedRatio where there is no concurrent
	// baseline to compare with.
	_toleratedDrift = 3
	// _maxFailureGain bounds what one window of failures adds, so that a verdict
	// takes two windows at least.
	_maxFailureGain = 7
	// _maxSlownessGain bounds what one window of slow calls adds, so that a verdict
	// takes five windows at least.
	_maxSlownessGain = 2.5
)

// _alternatives are the ratios of the rates that the test looks for.
var _alternatives = [...]float64{3, 8, 32, 128}

// sequentialTest accumulates evidence that the candidate's calls are bad more
// often than tolerated. Each bad call falls on one of the two versions; if
// both are alike it falls on the candidate as often as calls do. The test
// multiplies likelihood ratios for several alternatives, each a CUSUM that
// does not fall below its start, so that a fault that begins late is found
// as fast as an early one (Page, 1954).
//
// Bad calls come in bursts that have nothing to do with the version, such as a
// pause of a whole machine. So one window, however bad, adds no more than
// most, and a verdict takes several.
type sequentialTest struct {
	// maxGain is the largest logarithm that one window adds; above zero.
	maxGain   float64
	logRatios [len(_alternatives)]float64
}

// compare takes in concurrent calls of both versions, each with calls.
func (t *sequentialTest) compare(candidate, baseline sample) {
	expected := candidateShare(candidate.calls, baseline.calls, _toleratedRatio)
	for i, ratio := range _alternatives {
		altered := candidateShare(candidate.calls, baseline.calls, ratio)
		gain := float64(candidate.bad)*math.Log(altered/expected) +
			float64(baseline.bad)*math.Log((1-altered)/(1-expected))
		t.add(i, gain)
	}
}

// candidateShare returns the part of the bad calls that falls on the candidate when
// its rate is ratio times the baseline's.
func candidateShare(candidate, baseline uint64, ratio float64) float64 {
	weighted := float64(candidate) * ratio
	return weighted / (weighted + float64(baseline))
}

// compareWithRate takes in calls of the candidate alone, and the rate of bad calls
// that the baseline had while it still got calls.
func (t *sequentialTest) compareWithRate(candidate sample, rate float64) {
	expected := min(0.9, rate*_toleratedDrift)
	for i, ratio := range _alternatives {
		altered := min(0.99, expected*ratio)
		gain := float64(candidate.bad)*math.Log(altered/expected) +
			float64(candidate.calls-candidate.bad)*math.Log((1-altered)/(1-expected))
		t.add(i, gain)
	}
}

func (t *sequentialTest) add(i int, gain float64) {
	t.logRatios[i] = max(0, t.logRatios[i]+min(gain, t.maxGain))
}

// evidence returns the logarithm of the mean likelihood ratio.
func (t *sequentialTest) evidence() float64 {
	highest := 0.0
	for _, l := range t.logRatios {
		highest = max(highest, l)
	}
	var sum float64
	for _, l := range t.logRatios {
		sum += math.Exp(l - highest)
	}
	return highest + math.Log(sum/float64(len(t.logRatios)))
}
