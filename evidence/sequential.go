package evidence

import "math"

// sample is a number of calls, some of them bad: failed or slow.
type sample struct {
	calls uint64
	// bad is at most calls.
	bad uint64
}

// rate returns the share of bad calls, 0 if there are no calls.
func (s sample) rate() float64 {
	return float64(s.bad) / float64(max(1, s.calls))
}

const (
	// _toleratedRatio is the ratio of the candidate's to the baseline's rate of
	// bad calls that is tolerated.
	_toleratedRatio = 1.5
	// _toleratedDrift replaces _toleratedRatio if there are no concurrent
	// baseline calls to compare with.
	_toleratedDrift = 3
	// _maxFailureGain bounds the evidence from one window of failures, so that
	// a verdict takes at least two windows.
	_maxFailureGain = 7
	// _maxSlownessGain bounds the evidence from one window of slow calls, so
	// that a verdict takes at least five windows.
	_maxSlownessGain = 2.5
)

// _alternatives are the ratios of the two rates that the test is sensitive to.
var _alternatives = [...]float64{3, 8, 32, 128}

// sequentialTest accumulates evidence that the candidate's calls are bad more
// often than tolerated. Each bad call belongs to one of the two versions; if
// both are alike, it belongs to the candidate as often as any call does. The
// test multiplies likelihood ratios for several alternative rates, each a CUSUM
// that does not fall below its start, so that a fault that begins late is found
// as fast as an early one (Page, 1954).
//
// Bad calls also come in bursts unrelated to the version, such as when a whole
// machine pauses. Therefore one window, however bad, adds at most maxGain, and
// a verdict takes several windows.
type sequentialTest struct {
	// maxGain bounds the log-likelihood ratio that one window adds; above zero.
	maxGain float64
	// logRatios holds the CUSUM of the log-likelihood ratio of each
	// alternative.
	logRatios [len(_alternatives)]float64
}

// compare adds samples of concurrent calls to the two versions; neither is
// empty.
func (t *sequentialTest) compare(candidate, baseline sample) {
	tolerated := candidateShare(candidate.calls, baseline.calls, _toleratedRatio)
	for i, ratio := range _alternatives {
		alternative := candidateShare(candidate.calls, baseline.calls, ratio)
		gain := float64(candidate.bad)*math.Log(alternative/tolerated) +
			float64(baseline.bad)*math.Log((1-alternative)/(1-tolerated))
		t.add(i, gain)
	}
}

// candidateShare returns the share of the bad calls expected at the candidate
// if its rate is ratio times the baseline's.
func candidateShare(candidate, baseline uint64, ratio float64) float64 {
	weighted := float64(candidate) * ratio
	return weighted / (weighted + float64(baseline))
}

// compareWithRate adds calls to the candidate alone, given the rate of bad
// calls that the baseline had while it got calls.
func (t *sequentialTest) compareWithRate(candidate sample, rate float64) {
	tolerated := min(0.9, rate*_toleratedDrift)
	for i, ratio := range _alternatives {
		alternative := min(0.99, tolerated*ratio)
		gain := float64(candidate.bad)*math.Log(alternative/tolerated) +
			float64(candidate.calls-candidate.bad)*math.Log((1-alternative)/(1-tolerated))
		t.add(i, gain)
	}
}

// add adds a window's log-likelihood ratio for the i-th alternative.
func (t *sequentialTest) add(i int, gain float64) {
	t.logRatios[i] = max(0, t.logRatios[i]+min(gain, t.maxGain))
}

// evidence returns the logarithm of the mean likelihood ratio of the
// alternatives.
func (t *sequentialTest) evidence() float64 {
	highest := 0.0
	for _, logRatio := range t.logRatios {
		highest = max(highest, logRatio)
	}
	var sum float64
	for _, logRatio := range t.logRatios {
		sum += math.Exp(logRatio - highest)
	}
	return highest + math.Log(sum/float64(len(t.logRatios)))
}
