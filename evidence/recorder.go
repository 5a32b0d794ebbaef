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

const _recorderShards = 8

// Recorder counts the calls of one upstream while its service is being moved.
// It is safe for concurrent use.
type Recorder struct {
	// version is that of the upstream.
	version atomic.Pointer[config.VersionName]
	// rollout is the rollout that is counted for, empty while there is none.
	rollout atomic.Pointer[string]
	shards  [_recorderShards]recorderShard
}

type recorderShard struct {
	mu     sync.Mutex
	counts map[config.RouteName]*count
}

type count struct {
	calls    uint64
	failures uint64
	latency  *hdrhistogram.Histogram
}

// NewRecorder returns a recorder for an upstream of the version.
func NewRecorder(version config.VersionName) *Recorder {
	r := &Recorder{}
	r.version.Store(&version)
	none := ""
	r.rollout.Store(&none)
	return r
}

// SetVersion names the version of the upstream's new process. The counts of
// another version before it are dropped.
func (r *Recorder) SetVersion(version config.VersionName) {
	if *r.version.Load() == version {
		return
	}
	r.version.Store(&version)
	r.clear()
}

func (r *Recorder) clear() {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.counts = make(map[config.RouteName]*count)
		s.mu.Unlock()
	}
}

// SetRollout begins to count for a rollout, from zero; the empty one stops.
func (r *Recorder) SetRollout(id string) {
	if r.Rollout() == id {
		return
	}
	r.rollout.Store(&id)
	r.clear()
}

// Rollout returns the rollout that is counted for.
func (r *Recorder) Rollout() string {
	return *r.rollout.Load()
}

// Observe counts a call.
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
	// A latency over the longest counts as the longest.
	_ = c.latency.RecordValue(int64(min(o.Latency, _longestLatency) / LatencyUnit))
}

// Tallies returns the cumulative counts, sorted by route.
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
