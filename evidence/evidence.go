// Package evidence counts how the calls of upstream versions end, merges the
// counts of a zone, and tests a candidate version against its baseline. It
// does no I/O.
package evidence

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilferry.example/lentilferry/config"
)

// Observation is what an owner saw of one call to its upstream.
type Observation struct {
	Route config.RouteName
	// Failed is set for server errors, broken answers and overload.
	Failed bool
	// Latency is from when the call was sent to the begin of its answer.
	Latency time.Duration
}

// TallyKey names one stream of calls.
type TallyKey struct {
	Version config.VersionName
	Route   config.RouteName
}

// LatencyHistogram counts calls by how long they took; see LatencyUnit. Trailing zeros
// are left out.
type LatencyHistogram []uint64

// Tally is a cumulative count of one stream of calls.
type Tally struct {
	Key TallyKey
	// Calls is at least Failures.
	Calls    uint64
	Failures uint64
	Latency  LatencyHistogram
}

const (
	// LatencyUnit is the resolution of latencies.
	LatencyUnit = 100 * time.Microsecond
	// _longestLatency is the largest latency that is told apart.
	_longestLatency = 2 * time.Minute
	// _latencyDigits is the number of significant digits kept.
	_latencyDigits = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(_longestLatency/LatencyUnit), _latencyDigits)
}

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

// _upperBounds holds the largest latency of each place of a Latency.
var _upperBounds = upperBounds()

func upperBounds() []time.Duration {
	h := newHistogram()
	places := len(h.Export().Counts)
	bounds := make([]time.Duration, 0, places)
	for value := int64(0); len(bounds) < places; value++ {
		if !h.ValuesAreEquivalent(value, value+1) {
			bounds = append(bounds, time.Duration(value)*LatencyUnit)
		}
	}
	return bounds
}

// Plus returns the sum of two latencies.
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

// Quantile returns the latency that the given part of the calls stays under.
func (l LatencyHistogram) Quantile(part float64) time.Duration {
	rank := uint64(part * float64(l.Total()))
	var seen uint64
	for i, n := range l {
		seen += n
		if seen > rank {
			return _upperBounds[min(i, len(_upperBounds)-1)]
		}
	}
	return 0
}

// Above returns the number of calls that took longer than the limit.
func (l LatencyHistogram) Above(limit time.Duration) uint64 {
	var above uint64
	for i, n := range l {
		if _upperBounds[min(i, len(_upperBounds)-1)] > limit {
			above += n
		}
	}
	return above
}

// Plus returns the sum of two tallies of one key.
func (t Tally) Plus(other Tally) Tally {
	return Tally{
		Key:      t.Key,
		Calls:    t.Calls + other.Calls,
		Failures: t.Failures + other.Failures,
		Latency:  t.Latency.Plus(other.Latency),
	}
}

// minus returns what came since an earlier count; false when the earlier one
// is not part of this one.
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
