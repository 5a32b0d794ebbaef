// Package evidence counts the results of calls by upstream version, merges the
// counts of a zone, and tests a candidate version against its baseline. It does
// no I/O.
package evidence

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilferry.example/lentilferry/config"
)

// Observation is the result of one call, as seen by the owner of the upstream.
type Observation struct {
	Route config.RouteName
	// Failed is set for server errors, broken responses and overload.
	Failed bool
	// Latency is the time from sending the call to the start of its response.
	Latency time.Duration
}

// TallyKey identifies the calls that a Tally counts.
type TallyKey struct {
	Version config.VersionName
	Route   config.RouteName
}

// LatencyHistogram counts calls by latency. Its buckets are those of an HDR
// histogram in LatencyUnit; trailing zeros are omitted.
type LatencyHistogram []uint64

// Tally is a cumulative count of the calls to one version on one route.
type Tally struct {
	Key TallyKey
	// Calls is the number of all calls, failed ones included.
	Calls    uint64
	Failures uint64
	Latency  LatencyHistogram
}

const (
	// LatencyUnit is the resolution of latencies.
	LatencyUnit = 100 * time.Microsecond
	// _longestLatency is the upper bound of recorded latencies; longer ones
	// count as this.
	_longestLatency = 2 * time.Minute
	// _latencyDigits is the number of significant decimal digits kept.
	_latencyDigits = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(_longestLatency/LatencyUnit), _latencyDigits)
}

// exportHistogram returns the bucket counts of a histogram without trailing
// zeros.
func exportHistogram(h *hdrhistogram.Histogram) LatencyHistogram {
	counts := h.Export().Counts
	end := len(counts)
	for end > 0 && counts[end-1] == 0 {
		end--
	}
	latency := make(LatencyHistogram, end)
	for i := range end {
		latency[i] = uint64(counts[i])
	}
	return latency
}

// _upperBounds holds the largest latency of each bucket of a LatencyHistogram.
var _upperBounds = upperBounds()

func upperBounds() []time.Duration {
	h := newHistogram()
	buckets := len(h.Export().Counts)
	bounds := make([]time.Duration, 0, buckets)
	for value := int64(0); len(bounds) < buckets; value++ {
		if !h.ValuesAreEquivalent(value, value+1) {
			bounds = append(bounds, time.Duration(value)*LatencyUnit)
		}
	}
	return bounds
}

// Plus returns the sum of two histograms.
func (l LatencyHistogram) Plus(other LatencyHistogram) LatencyHistogram {
	if len(l) < len(other) {
		l, other = other, l
	}
	sum := append(LatencyHistogram(nil), l...)
	for i, n := range other {
		sum[i] += n
	}
	return sum
}

// Total returns the number of calls.
func (l LatencyHistogram) Total() uint64 {
	var total uint64
	for _, n := range l {
		total += n
	}
	return total
}

// Quantile returns the upper bound of the bucket with the given quantile, from
// 0 to 1; 0 if there are no calls.
func (l LatencyHistogram) Quantile(quantile float64) time.Duration {
	rank := uint64(quantile * float64(l.Total()))
	var seen uint64
	for i, n := range l {
		seen += n
		if seen > rank {
			return _upperBounds[min(i, len(_upperBounds)-1)]
		}
	}
	return 0
}

// Above returns the number of calls in buckets whose upper bound exceeds the
// limit.
func (l LatencyHistogram) Above(limit time.Duration) uint64 {
	var above uint64
	for i, n := range l {
		if _upperBounds[min(i, len(_upperBounds)-1)] > limit {
			above += n
		}
	}
	return above
}

// Plus returns the sum of two tallies of the same key.
func (t Tally) Plus(other Tally) Tally {
	return Tally{
		Key:      t.Key,
		Calls:    t.Calls + other.Calls,
		Failures: t.Failures + other.Failures,
		Latency:  t.Latency.Plus(other.Latency),
	}
}

// minus returns the difference to an earlier tally of the same counter; false
// if the earlier one is not contained in this one.
func (t Tally) minus(earlier Tally) (Tally, bool) {
	if t.Calls < earlier.Calls || t.Failures < earlier.Failures || len(t.Latency) < len(earlier.Latency) {
		return Tally{}, false
	}
	difference := Tally{
		Key:      t.Key,
		Calls:    t.Calls - earlier.Calls,
		Failures: t.Failures - earlier.Failures,
		Latency:  append(LatencyHistogram(nil), t.Latency...),
	}
	for i, n := range earlier.Latency {
		if n > difference.Latency[i] {
			return Tally{}, false
		}
		difference.Latency[i] -= n
	}
	return difference, true
}
