package evidence

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"lentilferry.example/lentilferry/config"
)

// _recorderShards is the number of shards, which reduce lock contention.
const _recorderShards = 8

// Recorder counts the calls to one upstream during a rollout of its service. It
// is safe for concurrent use.
type Recorder struct {
	// version is the version of the upstream.
	version atomic.Pointer[config.VersionName]
	// rollout is the ID of the rollout that calls are counted for, empty if
	// none.
	rollout atomic.Pointer[string]
	shards  [_recorderShards]recorderShard
}

// recorderShard holds the counts of a part of the routes, selected by their
// hashes.
type recorderShard struct {
	mu     sync.Mutex
	counts map[config.RouteName]*count
}

// count is the cumulative count of one route.
type count struct {
	calls    uint64
	failures uint64
	latency  *hdrhistogram.Histogram
}

// NewRecorder returns a recorder for an upstream of the given version.
func NewRecorder(version config.VersionName) *Recorder {
	r := &Recorder{}
	r.version.Store(&version)
	none := ""
	r.rollout.Store(&none)
	return r
}

// SetVersion sets the version of the upstream's new process. If it differs, the
// counts of the previous version are dropped.
func (r *Recorder) SetVersion(version config.VersionName) {
	if *r.version.Load() == version {
		return
	}
	r.version.Store(&version)
	r.clear()
}

// clear drops all counts.
func (r *Recorder) clear() {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.counts = make(map[config.RouteName]*count)
		s.mu.Unlock()
	}
}

// SetRollout starts counting for a rollout, from zero; the empty ID stops
// counting.
func (r *Recorder) SetRollout(id string) {
	if r.Rollout() == id {
		return
	}
	r.rollout.Store(&id)
	r.clear()
}

// Rollout returns the ID of the rollout that calls are counted for, empty if
// none.
func (r *Recorder) Rollout() string {
	return *r.rollout.Load()
}

// Observe counts a call if there is a rollout.
func (r *Recorder) Observe(_ time.Time, o Observation) {
	if r.Rollout() == "" {
		return
	}
	s := &r.shards[xxhash.Sum64String(string(o.Route))%_recorderShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counts[o.Route]
	if !ok {
		c = &count{latency: newHistogram()}
		s.counts[o.Route] = c
	}
	c.calls++
	if o.Failed {
		c.failures++
	}
	// Latencies above the longest count as the longest.
	_ = c.latency.RecordValue(int64(min(o.Latency, _longestLatency) / LatencyUnit))
}

// Tallies returns the cumulative counts, sorted by version and route.
func (r *Recorder) Tallies() []Tally {
	var tallies []Tally
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for route, c := range s.counts {
			tallies = append(tallies, Tally{
				Key:      TallyKey{Version: *r.version.Load(), Route: route},
				Calls:    c.calls,
				Failures: c.failures,
				Latency:  exportHistogram(c.latency),
			})
		}
		s.mu.Unlock()
	}
	sortTallies(tallies)
	return tallies
}

func sortTallies(tallies []Tally) {
	slices.SortFunc(tallies, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Key.Version, b.Key.Version), cmp.Compare(a.Key.Route, b.Key.Route))
	})
}
